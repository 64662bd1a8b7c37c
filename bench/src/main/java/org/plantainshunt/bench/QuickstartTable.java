package org.plantainshunt.bench;

import java.io.PrintStream;
import java.util.Map;

import org.plantainshunt.standins.LoadResult;
import org.plantainshunt.standins.RequestOutcome;

/** Prints the outcomes of a load by priority class. Stateless. */
final class QuickstartTable {
    private static final String ROW = "%-10s %8s %8s %6s %8s %8s %8s %9s %9s %8s%n";

    private QuickstartTable() {}

    static void print(LoadResult result, PrintStream out) {
        out.printf(
                ROW, "class", "offered", "whole", "late", "not run", "failed", "unknown", "p50 ms", "p99 ms",
                "retries");
        for (LoadResult.Counts counts : result.byClass()) {
            out.printf(
                    ROW,
                    counts.name(),
                    counts.offered(),
                    counts.count(RequestOutcome.WHOLE),
                    counts.count(RequestOutcome.LATE),
                    counts.count(RequestOutcome.NOT_RUN),
                    counts.count(RequestOutcome.FAILED),
                    counts.count(RequestOutcome.UNKNOWN) + counts.count(RequestOutcome.DAMAGED),
                    "%.1f".formatted(counts.p50Milliseconds()),
                    "%.1f".formatted(counts.p99Milliseconds()),
                    "%.2f".formatted(counts.retriesPerRequest()));
        }
        for (LoadResult.Counts counts : result.byClass()) {
            printCodes(counts.name() + " not run by result code", counts.notRunCodes(), out);
            printCodes(counts.name() + " unknown by result code", counts.unknownCodes(), out);
            printCodes(counts.name() + " failed by call and its result code", counts.failedCalls(), out);
        }
    }

    private static void printCodes(String what, Map<?, Long> codes, PrintStream out) {
        if (!codes.isEmpty()) {
            out.println("  " + what + ": " + codes);
        }
    }
}
