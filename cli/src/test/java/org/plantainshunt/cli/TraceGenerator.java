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
 * Writes the traces that the tests replay; the README beside them says what they hold.
 *
 * <p>The recorded side is that of a plain first-in-first-out queue, so no decision of the admission queue is in them.
 */
final class TraceGenerator {
    private static final double SECOND = 1e6;
    /** The time on the way takes up to a tenth of the deadline. */
    private static final double TRANSIT_SHARE = 0.1;

    private final Trial trial;
    private final Document document;
    private final Service service;
    private final Random random;
    private final List<TraceEvent> events = new ArrayList<>();
    private final PriorityQueue<Long> slotFreeAt = new PriorityQueue<>();

    /** A value that depends on the second of the trace. */
    interface Course {
        double at(double second);
    }

    /** The course of one trace: the demand as a share of the capacity, and the factor on run times. */
    enum Trial {
        BELL_MORNING("archive", "store", 4, 0.03, second -> 0.6, second -> 1),
        BELL_CREST("archive", "store", 7, 0.06, second -> 0.4 * crest(second), second -> 1),
        BELL_SLOW_ARCHIVE("archive", "store", 7, 0.04, second -> 0.5, second -> slow(second, 4)),
        LINE_SALE("benchbook", "book-repolish", 7, 0.03, second -> 0.4 * crest(second), second -> 1),
        LINE_SLOW_BENCHBOOK("benchbook", "book-repolish", 7, 0.03, second -> 0.5, second -> slow(second, 4)),
        BELL_SLOW_ARCHIVE_FULL_RUNS("archive", "store", 7, 0.04, second -> 0.5, second -> slow(second, 4)),
        LINE_SLOW_BENCHBOOK_FULL_RUNS("benchbook", "book-repolish", 7, 0.03, second -> 0.5, second -> slow(second, 4));

        private final String service;
        private final String atMostOnceKind;
        private final int seconds;
        private final double meanRunSeconds;
        private final Course demand;
        private final Course slowness;

        Trial(
                String service,
                String atMostOnceKind,
                int seconds,
                double meanRunSeconds,
                Course demand,
                Course slowness) {
            this.service = service;
            this.atMostOnceKind = atMostOnceKind;
            this.seconds = seconds;
            this.meanRunSeconds = meanRunSeconds;
            this.demand = demand;
            this.slowness = slowness;
        }

        /** Rises to five times from second 1 to 3, stays for 0.5 s and is back at 1 in second 4. */
        private static double crest(double second) {
            double rise = Math.min(1, Math.max(0, (second - 1) / 2));
            double fall = Math.min(1, Math.max(0, (second - 3.5) / 0.5));
            return 1 + 4 * (rise - fall);
        }

        private static double slow(double second, double factor) {
            return second >= 2 && second < 4 ? factor : 1;
        }

        /** Returns whether the backend server stops work whose deadline has passed. */
        private boolean cancels() {
            return this != BELL_SLOW_ARCHIVE_FULL_RUNS && this != LINE_SLOW_BENCHBOOK_FULL_RUNS;
        }

        String fileName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        Path file() {
            return Path.of("src", "test", "resources", "traces", fileName() + ".jsonl.gz");
        }
    }

    private TraceGenerator(Trial trial) throws IOException, InvalidDocumentException {
        this.trial = trial;
        this.document = Document.parse(Files.readAllBytes(trial.file().resolveSibling("limits.ini")));
        this.service = document.service(trial.service).orElseThrow();
        this.random = new Random(trial.ordinal() + 1L);
        slotFreeAt.addAll(Collections.nCopies(service.slots(), 0L));
    }

    /** Writes all traces; run it in the folder of the module cli. */
    public static void main(String[] arguments) throws IOException, InvalidDocumentException {
        for (Trial trial : Trial.values()) {
            try (OutputStream out = new GZIPOutputStream(Files.newOutputStream(trial.file()))) {
                out.write(text(trial).getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    /** Returns the lines of a trace; they are the same each time. */
    static String text(Trial trial) throws IOException, InvalidDocumentException {
        List<TraceEvent> events = new TraceGenerator(trial).events();
        ObjectWriter json = TraceReader.mapper().writerFor(TraceEvent.class);
        StringBuilder text = new StringBuilder();
        for (TraceEvent event : events) {
            text.append(json.writeValueAsString(event)).append('\n');
        }
        return text.toString();
    }

    private List<TraceEvent> events() {
        double capacity = service.slots() / trial.meanRunSeconds;
        double second = 0;
        for (int number = 0; second < trial.seconds; number++) {
            second += -Math.log(1 - random.nextDouble()) / (capacity * trial.demand.at(second));
            call("r-" + trial.ordinal() + "-" + number, (long) (second * SECOND));
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
        double left = Math.rint(kind.deadline().toMillis() * (1 - TRANSIT_SHARE * random.nextDouble()));
        TraceEvent.Arrival arrival = new TraceEvent.Arrival(
                time, "c" + id, id, kind.name(), priorityClass, Priority.cohortOf(id), kind.atMostOnce(), left);
        events.add(arrival);
        run(arrival, 0.5 + random.nextDouble());
    }

    /** The shares of the policy benchmarks. */
    private static PriorityClass priorityClass(double draw) {
        if (draw < 0.08) {
            return PriorityClass.CRITICAL;
        }
        if (draw < 0.20) {
            return PriorityClass.IMPORTANT;
        }
        return draw < 0.60 ? PriorityClass.STANDARD : PriorityClass.SHEDDABLE;
    }

    /** A third of the critical and half of the important calls of the archive store; a booking is important. */
    private String kind(PriorityClass priorityClass) {
        boolean bookings = trial.service.equals("benchbook");
        double share = 0;
        if (priorityClass == PriorityClass.CRITICAL && !bookings) {
            share = 1.0 / 3;
        } else if (priorityClass == PriorityClass.IMPORTANT) {
            share = bookings ? 1 : 0.5;
        }
        return random.nextDouble() < share ? trial.atMostOnceKind : "lookup";
    }

    private void run(TraceEvent.Arrival arrival, double work) {
        long free = slotFreeAt.remove();
        long start = Math.max(arrival.time(), free);
        if (start >= arrival.deadline()) {
            slotFreeAt.add(free);
            refuse(arrival, ResultCode.DEADLINE_TOO_SHORT);
            return;
        }
        long runTime = (long) (trial.meanRunSeconds * SECOND * work * trial.slowness.at(start / SECOND));
        long end = start + runTime;
        CallEnd how = CallEnd.ANSWERED;
        if (end > arrival.deadline()) {
            refuse(arrival, ResultCode.DEADLINE_PASSED_AFTER_HANDOVER);
            if (!arrival.atMostOnce() && trial.cancels()) {
                end = arrival.deadline();
                how = CallEnd.CANCELLED;
            }
        }
        events.add(new TraceEvent.Handover(start, arrival.call()));
        events.add(new TraceEvent.End(end, arrival.call(), how, end - start));
        slotFreeAt.add(end);
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
