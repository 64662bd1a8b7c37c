package org.plantainshunt.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.zip.GZIPOutputStream;

import com.fasterxml.jackson.databind.ObjectWriter;
import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.admission.Priority;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.InvalidDocumentException;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.replay.TraceEvent;
import org.plantainshunt.result.ResultCode;

/**
 * Generates the traces that the tests replay; the README beside the traces describes them.
 *
 * <p>The recorded decisions are those of a plain FIFO queue, so the traces contain none of the admission queue.
 */
final class TraceGenerator {
    private static final double MICROSECONDS_PER_SECOND = 1e6;
    /** The transit time of a call takes up to a tenth of its deadline. */
    private static final double MAX_TRANSIT_SHARE = 0.1;

    private final Scenario scenario;
    private final Document document;
    private final Service service;
    private final Random random;
    private final List<TraceEvent> events = new ArrayList<>();
    private final PriorityQueue<Long> slotFreeTimes = new PriorityQueue<>();

    /** A value as a function of the time since the start of the trace, in seconds. */
    interface TimeProfile {
        double at(double second);
    }

    /**
     * The parameters of one trace: the service, its at-most-once kind, the length and the mean run time in seconds, the
     * demand as a share of the capacity, and the factor on run times.
     */
    enum Scenario {
        BELL_MORNING("archive", "store", 4, 0.03, second -> 0.6, second -> 1),
        BELL_CREST("archive", "store", 7, 0.06, second -> 0.4 * spikeFactor(second), second -> 1),
        BELL_SLOW_ARCHIVE("archive", "store", 7, 0.04, second -> 0.5, second -> slowdownFactor(second, 4)),
        LINE_SALE("benchbook", "book-repolish", 7, 0.03, second -> 0.4 * spikeFactor(second), second -> 1),
        LINE_SLOW_BENCHBOOK("benchbook", "book-repolish", 7, 0.03, second -> 0.5, second -> slowdownFactor(second, 4)),
        BELL_SLOW_ARCHIVE_FULL_RUNS("archive", "store", 7, 0.04, second -> 0.5, second -> slowdownFactor(second, 4)),
        LINE_SLOW_BENCHBOOK_FULL_RUNS(
                "benchbook", "book-repolish", 7, 0.03, second -> 0.5, second -> slowdownFactor(second, 4));

        private final String service;
        private final String atMostOnceKind;
        private final int seconds;
        private final double meanRunSeconds;
        private final TimeProfile demand;
        private final TimeProfile runTimeFactor;

        Scenario(
                String service,
                String atMostOnceKind,
                int seconds,
                double meanRunSeconds,
                TimeProfile demand,
                TimeProfile runTimeFactor) {
            this.service = service;
            this.atMostOnceKind = atMostOnceKind;
            this.seconds = seconds;
            this.meanRunSeconds = meanRunSeconds;
            this.demand = demand;
            this.runTimeFactor = runTimeFactor;
        }

        /** Rises from 1 to 5 between seconds 1 and 3, stays there for 0.5 s and falls to 1 by second 4. */
        private static double spikeFactor(double second) {
            double rise = Math.min(1, Math.max(0, (second - 1) / 2));
            double fall = Math.min(1, Math.max(0, (second - 3.5) / 0.5));
            return 1 + 4 * (rise - fall);
        }

        private static double slowdownFactor(double second, double factor) {
            return second >= 2 && second < 4 ? factor : 1;
        }

        /** Returns whether the backend server cancels repeatable calls at their deadline. */
        private boolean cancelsAtDeadline() {
            return this != BELL_SLOW_ARCHIVE_FULL_RUNS && this != LINE_SLOW_BENCHBOOK_FULL_RUNS;
        }

        String fileName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        Path file() {
            return Path.of("src", "test", "resources", "traces", fileName() + ".jsonl.gz");
        }
    }

    private TraceGenerator(Scenario scenario) throws IOException, InvalidDocumentException {
        this.scenario = scenario;
        this.document = Document.parse(Files.readAllBytes(scenario.file().resolveSibling("limits.ini")));
        this.service = document.service(scenario.service).orElseThrow();
        this.random = new Random(scenario.ordinal() + 1L);
        slotFreeTimes.addAll(Collections.nCopies(service.slots(), 0L));
    }

    /** Writes all traces. The working directory must be that of the module cli. */
    public static void main(String[] arguments) throws IOException, InvalidDocumentException {
        for (Scenario scenario : Scenario.values()) {
            try (OutputStream out = new GZIPOutputStream(Files.newOutputStream(scenario.file()))) {
                out.write(text(scenario).getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    /** Returns the lines of a trace; the result is deterministic. */
    static String text(Scenario scenario) throws IOException, InvalidDocumentException {
        List<TraceEvent> events = new TraceGenerator(scenario).events();
        ObjectWriter json = TraceReader.mapper().writerFor(TraceEvent.class);
        StringBuilder text = new StringBuilder();
        for (TraceEvent event : events) {
            text.append(json.writeValueAsString(event)).append('\n');
        }
        return text.toString();
    }

    private List<TraceEvent> events() {
        double capacity = service.slots() / scenario.meanRunSeconds;
        double second = 0;
        for (int number = 0; second < scenario.seconds; number++) {
            second += -Math.log(1 - random.nextDouble()) / (capacity * scenario.demand.at(second));
            call("r-" + scenario.ordinal() + "-" + number, (long) (second * MICROSECONDS_PER_SECOND));
        }
        events.sort(Comparator.comparingLong(TraceGenerator::time));
        TraceEvent.Limits limits = TraceEvent.Limits.of(service);
        events.add(0, new TraceEvent.Header(TraceEvent.VERSION, service.name() + "-generated", service.name(), limits));
        return events;
    }

    private void call(String id, long time) {
        double draw = random.nextDouble();
        PriorityClass priorityClass = priorityClass(draw);
        Kind kind = document.kind(service.name(), kind(priorityClass)).orElseThrow();
        double left = Math.rint(kind.deadline().toMillis() * (1 - MAX_TRANSIT_SHARE * random.nextDouble()));
        TraceEvent.Arrival arrival = new TraceEvent.Arrival(
                time, "c" + id, id, kind.name(), priorityClass, Priority.cohortOf(id), kind.atMostOnce(), false, left);
        events.add(arrival);
        run(arrival, 0.5 + random.nextDouble());
    }

    /** Uses the shares of the classes in the policy benchmarks. */
    private static PriorityClass priorityClass(double draw) {
        if (draw < 0.08) {
            return PriorityClass.CRITICAL;
        }
        if (draw < 0.20) {
            return PriorityClass.IMPORTANT;
        }
        return draw < 0.60 ? PriorityClass.STANDARD : PriorityClass.SHEDDABLE;
    }

    /**
     * Draws the kind of a call. At the archive, a third of the critical and half of the important calls run at most
     * once; at the bench book, exactly the important calls do.
     */
    private String kind(PriorityClass priorityClass) {
        boolean bookings = scenario.service.equals("benchbook");
        double share = 0;
        if (priorityClass == PriorityClass.CRITICAL && !bookings) {
            share = 1.0 / 3;
        } else if (priorityClass == PriorityClass.IMPORTANT) {
            share = bookings ? 1 : 0.5;
        }
        return random.nextDouble() < share ? scenario.atMostOnceKind : "lookup";
    }

    private void run(TraceEvent.Arrival arrival, double runTimeVariation) {
        long free = slotFreeTimes.remove();
        long start = Math.max(arrival.time(), free);
        if (start >= arrival.deadline()) {
            slotFreeTimes.add(free);
            refuse(arrival, ResultCode.DEADLINE_TOO_SHORT);
            return;
        }
        long runTime = (long) (scenario.meanRunSeconds
                * MICROSECONDS_PER_SECOND
                * runTimeVariation
                * scenario.runTimeFactor.at(start / MICROSECONDS_PER_SECOND));
        long end = start + runTime;
        CallEnd outcome = CallEnd.ANSWERED;
        if (end > arrival.deadline()) {
            refuse(arrival, ResultCode.DEADLINE_PASSED_AFTER_HANDOVER);
            if (!arrival.atMostOnce() && scenario.cancelsAtDeadline()) {
                end = arrival.deadline();
                outcome = CallEnd.CANCELLED;
            }
        }
        events.add(new TraceEvent.Handover(start, arrival.call()));
        events.add(new TraceEvent.End(end, arrival.call(), outcome, end - start));
        slotFreeTimes.add(end);
    }

    private void refuse(TraceEvent.Arrival arrival, ResultCode code) {
        events.add(new TraceEvent.Refused(arrival.deadline(), arrival.call(), code.number(), "generated"));
    }

    private static long time(TraceEvent event) {
        if (event instanceof TraceEvent.Arrival arrival) {
            return arrival.time();
        }
        if (event instanceof TraceEvent.Handover handover) {
            return handover.time();
        }
        return event instanceof TraceEvent.End end ? end.time() : ((TraceEvent.Refused) event).time();
    }
}
