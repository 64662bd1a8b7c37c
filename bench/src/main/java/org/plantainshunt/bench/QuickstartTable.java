package org.plantainshunt.bench;

import java.io.PrintStream;
import java.util.Map;

import org.plantainshunt.standins.LoadResult;
import org.plantainshunt.standins.WorkOutcome;

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
                    counts.count(WorkOutcome.WHOLE),
                    counts.count(WorkOutcome.LATE),
                    counts.count(WorkOutcome.NOT_RUN),
                    counts.count(WorkOutcome.FAILED),
                    counts.count(WorkOutcome.UNKNOWN) + counts.count(WorkOutcome.DAMAGED),
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
