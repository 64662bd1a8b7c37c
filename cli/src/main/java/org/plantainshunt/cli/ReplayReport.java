package org.plantainshunt.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalInt;
import java.util.stream.Collectors;

import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.replay.Outcomes;
import org.plantainshunt.replay.Replay;
import org.plantainshunt.replay.Tally;
import org.plantainshunt.replay.Trace;

/**
 * The outcomes of the replay of a trace, compared with the recorded ones.
 *
 * @param node the node that recorded the trace
 * @param service its service
 * @param slots the number of slots at the start of the replay
 * @param recordedSlots the number of slots at the start of the trace
 * @param rows the counts by arrival second and priority class
 * @param queueDelay the queueing delays, from arrival to hand-over, in the replay
 * @param recordedQueueDelay the queueing delays in the trace
 * @param lowestLevel the lowest admission level in the replay
 * @param estimatedRunTimes the number of calls that did not run to completion when recorded
 * @param droppedLines the number of lines that the node could not write
 * @param strayLines the number of lines about calls without a recorded arrival
 * @param full whether recording stopped at the maximum file size
 */
record ReplayReport(
        String node,
        String service,
        int slots,
        int recordedSlots,
        List<Row> rows,
        QueueDelay queueDelay,
        QueueDelay recordedQueueDelay,
        int lowestLevel,
        long estimatedRunTimes,
        long droppedLines,
        long strayLines,
        boolean full)
        implements Report {
    private static final double MEDIAN = 50;
    private static final double P99 = 99;
    private static final double MICROSECONDS_PER_MILLISECOND = 1000;

    /**
     * The calls of one class that arrived in one second.
     *
     * @param second the second since the start of the trace, from 0
     * @param priorityClass the class in lower case
     * @param replayed their outcomes in the replay
     * @param recorded their outcomes at the node
     */
    record Row(int second, String priorityClass, Tally replayed, Tally recorded) {}

    /**
     * Percentiles of the queueing delay.
     *
     * @param p50 the median, in milliseconds
     * @param p99 the 99th percentile, in milliseconds
     */
    record QueueDelay(double p50, double p99) {
        private static QueueDelay of(Outcomes outcomes) {
            return new QueueDelay(
                    outcomes.queueDelay(MEDIAN) / MICROSECONDS_PER_MILLISECOND,
                    outcomes.queueDelay(P99) / MICROSECONDS_PER_MILLISECOND);
        }
    }

    static ReplayReport of(Trace trace, OptionalInt slots) {
        Outcomes replayed = Replay.run(trace, slots);
        Outcomes recorded = Outcomes.recorded(trace);
        int recordedSlots = trace.header().limits().slots();
        return new ReplayReport(
                trace.header().node(),
                trace.header().service(),
                slots.orElse(recordedSlots),
                recordedSlots,
                rows(replayed, recorded),
                QueueDelay.of(replayed),
                QueueDelay.of(recorded),
                replayed.lowestLevel().orElseThrow(),
                trace.callsNotRunToEnd(),
                trace.droppedLines(),
                trace.strayLines(),
                trace.full());
    }

    private static List<Row> rows(Outcomes replayed, Outcomes recorded) {
        List<Row> rows = new ArrayList<>();
        for (int second : replayed.seconds()) {
            for (PriorityClass priorityClass : PriorityClass.values()) {
                Tally tally = replayed.tally(second, priorityClass);
                if (tally.getOffered() > 0) {
                    String name = priorityClass.name().toLowerCase(Locale.ROOT);
                    rows.add(new Row(second, name, tally, recorded.tally(second, priorityClass)));
                }
            }
        }
        return List.copyOf(rows);
    }

    @Override
    public String text() {
        String recordedSlotsNote = slots == recordedSlots ? "" : " (recorded with " + recordedSlots + ")";
        StringBuilder text = new StringBuilder("trace of node " + node + ", service " + service + ", replayed with "
                + slots + " slots" + recordedSlotsNote + "; +/- is the difference to the record\n");
        text.append(table());
        text.append("queue delay p50 ").append(delay(queueDelay.p50(), recordedQueueDelay.p50()));
        text.append(", p99 ")
                .append(delay(queueDelay.p99(), recordedQueueDelay.p99()))
                .append('\n');
        text.append("lowest admission level ").append(lowestLevel).append('\n');
        text.append(estimatedRunTimes)
                .append(" calls did not run to their end when recorded; they take at least the median of their kind\n");
        if (droppedLines > 0 || strayLines > 0 || full) {
            text.append("the trace is incomplete: ").append(droppedLines).append(" lines dropped, ");
            text.append(strayLines).append(" lines without arrival");
            text.append(full ? ", stopped at its largest size\n" : "\n");
        }
        return text.toString();
    }

    private TextTable table() {
        TextTable table =
                new TextTable("SECOND", "CLASS", "OFFERED", "STARTED", "+/-", "ANSWERED", "+/-", "REFUSED", "RECORDED");
        for (Row row : rows) {
            Tally replayed = row.replayed();
            Tally recorded = row.recorded();
            table.add(
                    row.second(),
                    row.priorityClass(),
                    replayed.getOffered(),
                    replayed.getStarted(),
                    difference(replayed.getStarted(), recorded.getStarted()),
                    replayed.getAnswered(),
                    difference(replayed.getAnswered(), recorded.getAnswered()),
                    codes(replayed.getRefused()),
                    codes(recorded.getRefused()));
        }
        return table;
    }

    private static String difference(int replayed, int recorded) {
        return replayed == recorded ? "0" : String.format("%+d", replayed - recorded);
    }

    private static String codes(Map<Integer, Integer> refused) {
        if (refused.isEmpty()) {
            return "-";
        }
        return refused.entrySet().stream()
                .map(entry -> entry.getKey() + "x" + entry.getValue())
                .collect(Collectors.joining(" "));
    }

    private static String delay(double replayed, double recorded) {
        return String.format(Locale.ROOT, "%.1f ms (recorded %.1f ms)", replayed, recorded);
    }

    @Override
    public ExitCode exitCode() {
        return ExitCode.SUCCESS;
    }
}
