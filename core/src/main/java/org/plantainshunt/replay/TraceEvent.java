package org.plantainshunt.replay;

import java.time.Duration;
import java.util.Map;

import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Service;

/**
 * One line of the trace that a serving node writes.
 *
 * <p>The components of each record are the keys of its JSON form, beside {@code event} with the name in {@link #TYPES}.
 * All times are microseconds since the start of the trace on the node's monotonic clock. Immutable and safe for use by
 * any thread.
 */
public sealed interface TraceEvent {
    /** The version of the format; a reader rejects other versions. */
    int VERSION = 1;

    /** The types of events by their names in the trace. */
    Map<String, Class<? extends TraceEvent>> TYPES = Map.of(
            "header", Header.class,
            "limits", LimitsChanged.class,
            "arrival", Arrival.class,
            "hand-over", Handover.class,
            "end", End.class,
            "refusal", Refused.class,
            "dropped", Dropped.class,
            "full", Full.class);

    /**
     * The limits that a node's admission queue applies.
     *
     * @param slots the number of requests that the backend server runs at a time
     * @param queue the number of requests that may wait
     * @param targetQueueDelay the standing delay that counts as overload, in microseconds
     * @param longWorkShare the share of the slots that long work may hold, 0 to 1
     * @param longWorkAfter the multiple of the median service time after which a request counts as long
     */
    record Limits(int slots, int queue, long targetQueueDelay, double longWorkShare, int longWorkAfter) {
        /** Returns the limits of a service. */
        public static Limits of(Service service) {
            return new Limits(
                    service.slots(),
                    service.queue(),
                    service.targetQueueDelay().toNanos() / 1000,
                    service.longWorkShare(),
                    service.longWorkAfter());
        }

        /** Returns a service with these limits; connections are not recorded, so their number is that of the slots. */
        Service service(String name) {
            Duration delay = Duration.ofNanos(targetQueueDelay * 1000);
            return new Service(name, slots, slots, queue, delay, longWorkShare, longWorkAfter);
        }

        Limits withSlots(int other) {
            return new Limits(other, queue, targetQueueDelay, longWorkShare, longWorkAfter);
        }
    }

    /**
     * The first line of a trace.
     *
     * @param version the version of the format
     * @param node the name of the node
     * @param service the name of its service
     * @param limits the limits at the start
     */
    record Header(int version, String node, String service, Limits limits) implements TraceEvent {}

    /**
     * The limits were changed; the new ones apply from this time.
     *
     * @param time when, in microseconds
     * @param limits the new limits
     */
    record LimitsChanged(long time, Limits limits) implements TraceEvent {}

    /**
     * A call was offered to the admission queue.
     *
     * @param time when, in microseconds
     * @param call the identity of the call at this node; one request may have several calls
     * @param request the request id
     * @param kind the kind of request
     * @param priorityClass the class
     * @param cohort the cohort of the request within its class, 0 to 127
     * @param atMostOnce whether the call runs at most once
     * @param continues whether an earlier call for the same request was answered
     * @param deadlineLeft the time left at the arrival, in milliseconds
     */
    record Arrival(
            long time,
            String call,
            String request,
            String kind,
            PriorityClass priorityClass,
            int cohort,
            boolean atMostOnce,
            boolean continues,
            double deadlineLeft)
            implements TraceEvent {
        /** Returns when the deadline passes, in microseconds. */
        public long deadline() {
            return time + Math.round(deadlineLeft * 1000);
        }
    }

    /**
     * A call was handed over to the backend server.
     *
     * @param time when, in microseconds
     * @param call the identity of the call
     */
    record Handover(long time, String call) implements TraceEvent {}

    /**
     * A call that was handed over has freed its slot.
     *
     * @param time when, in microseconds
     * @param call the identity of the call
     * @param how how it ended
     * @param runTime the time since it got its slot, in microseconds
     */
    record End(long time, String call, CallEnd how, long runTime) implements TraceEvent {}

    /**
     * The entry node was told that the call gets no answer; a call that is running at that time may end later.
     *
     * @param time when, in microseconds
     * @param call the identity of the call
     * @param code the number of the result code
     * @param detail a human-readable description of what happened
     */
    record Refused(long time, String call, int code, String detail) implements TraceEvent {}

    /**
     * Lines are missing before this one, because the telemetry thread could not keep up.
     *
     * @param lines the number of lines missing since the previous event of this type
     */
    record Dropped(long lines) implements TraceEvent {}

    /**
     * The last line of a trace that reached its size limit.
     *
     * @param limitBytes the size limit, in bytes
     */
    record Full(long limitBytes) implements TraceEvent {}
}
