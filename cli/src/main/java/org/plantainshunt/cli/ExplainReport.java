package org.plantainshunt.cli;

import java.math.BigInteger;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Notation;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.result.ResultCode;

/**
 * How a kind of request is handled, and the causes of a result code.
 *
 * @param service the service
 * @param kind the kind of request
 * @param facts the properties of the kind, human-readable
 * @param calls the calls that one request may cause, as a flattened tree
 * @param retryBound the maximum number of retries for one request over its whole call chain
 * @param mostCalls the maximum number of calls for one request over its whole call chain, without retries
 * @param code the explained result code, if one was given
 */
record ExplainReport(
        String service,
        String kind,
        List<Fact> facts,
        List<CallTree.Call> calls,
        int retryBound,
        BigInteger mostCalls,
        @JsonInclude(JsonInclude.Include.NON_NULL) CodeAdvice code)
        implements Report {

    /**
     * A property of the kind.
     *
     * @param subject the property, such as a key of the document
     * @param value its value in the notation of the document
     * @param effect the effect of the value
     */
    record Fact(String subject, String value, String effect) {}

    /**
     * A result code with advice for this kind.
     *
     * @param number the number
     * @param name the name
     * @param run whether the request ran
     * @param explanation one sentence
     * @param why the possible causes of the code
     * @param caller what the caller should do
     * @param operator what the operator should do
     */
    record CodeAdvice(
            int number, String name, String run, String explanation, String why, String caller, String operator) {}

    static ExplainReport of(Document document, Kind kind, Optional<ResultCode> code) {
        List<CallTree.Call> calls = CallTree.of(document, kind);
        return new ExplainReport(
                kind.service(),
                kind.name(),
                facts(document, kind),
                calls,
                document.policy().retriesPerRequest(),
                CallTotals.of(document, kind),
                code.map(given -> advice(document, kind, given)).orElse(null));
    }

    private static CodeAdvice advice(Document document, Kind kind, ResultCode code) {
        Advice advice = new Adviser(document, kind).advise(code);
        return new CodeAdvice(
                code.number(),
                code.name(),
                code.runState().label(),
                code.explanation(),
                advice.why(),
                advice.caller(),
                advice.operator());
    }

    private static List<Fact> facts(Document document, Kind kind) {
        Service limits = document.service(kind.service()).orElseThrow();
        return List.of(
                new Fact("class", Notation.priorityClass(kind.priorityClass()), shedOrder(kind.priorityClass())),
                new Fact("runs", Notation.runs(kind.atMostOnce()), repeatEffect(document, kind)),
                new Fact(
                        "deadline", Notation.duration(kind.deadline()), "without a whole answer by then: 1102 or 1202"),
                new Fact("slots", "" + limits.slots(), "requests that one backend server runs at a time"),
                new Fact("connections", "" + limits.connections(), "connections that one backend server accepts"),
                new Fact("queue", "" + limits.queue(), "requests that may wait at one node; beyond: 1100"),
                new Fact(
                        "target-queue-delay",
                        Notation.duration(limits.targetQueueDelay()),
                        "a longer standing delay counts as overload"),
                new Fact("long work", longWork(limits), longWorkEffect(kind)),
                new Fact(
                        "largest-body",
                        Notation.size(document.policy().largestBody()),
                        "a larger request is refused with 1303"),
                new Fact(
                        "largest-answer",
                        Notation.size(document.policy().largestAnswer()),
                        "a larger answer is reported with 1206"));
    }

    private static String shedOrder(PriorityClass priorityClass) {
        return switch (priorityClass) {
            case CRITICAL -> "shed last, after all other classes";
            case IMPORTANT -> "shed after sheddable and standard work";
            case STANDARD -> "shed after sheddable work";
            case SHEDDABLE -> "shed first";
        };
    }

    private static String repeatEffect(Document document, Kind kind) {
        if (!kind.atMostOnce()) {
            return "may be repeated freely";
        }
        return "needs a ticket, usable for "
                + Notation.duration(document.policy().ticketUseWithin()) + "; its outcome is kept for "
                + Notation.duration(document.policy().outcomeKeptFor());
    }

    private static String longWork(Service limits) {
        return Notation.share(limits.longWorkShare()) + ", " + limits.longWorkAfter() + " x median";
    }

    private static String longWorkEffect(Kind kind) {
        return kind.atMostOnce()
                ? "never cancelled by the node, because it runs at most once"
                : "may be cancelled (1205) while short work waits";
    }

    @Override
    public String text() {
        TextTable table = new TextTable("SUBJECT", "VALUE", "EFFECT");
        facts.forEach(fact -> table.add(fact.subject(), fact.value(), fact.effect()));
        String text = service + " " + kind + "\n\n" + table + "\n" + callTable() + "\n" + retryBoundText();
        return code == null ? text : text + "\n" + codeText();
    }

    private String callTable() {
        TextTable table = new TextTable("CALLS FOR ONE REQUEST", "MOST CALLS", "MOST ATTEMPTS", "");
        for (CallTree.Call call : calls) {
            String name = "  ".repeat(call.level()) + call.service() + " " + call.kind();
            table.add(
                    call.level() == 0 ? name : name + " x" + call.count(),
                    call.mostCalls(),
                    call.mostAttempts(),
                    call.listedAbove() ? "calls as above" : "");
        }
        return table.toString();
    }

    private String retryBoundText() {
        return "Retry bound: at most " + retryBound + " retries over all " + mostCalls
                + " calls, so at most " + mostCalls.add(BigInteger.valueOf(retryBound)) + " attempts for one request.\n"
                + "A caller may repeat the request itself " + retryBound + " times (Plantainshunt-Attempt).\n";
    }

    private String codeText() {
        return code.number() + " " + code.name() + " (" + code.run() + "): " + code.explanation() + "\n"
                + "Why: " + code.why() + "\n"
                + "Caller: " + code.caller() + "\n"
                + "Operator: " + code.operator() + "\n";
    }

    @Override
    public ExitCode exitCode() {
        return ExitCode.SUCCESS;
    }
}
