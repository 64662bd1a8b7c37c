package org.plantainshunt.configuration;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;

/**
 * A kind of request that a service takes.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param service the service
 * @param name the name of the kind, unique within the service
 * @param priorityClass the class of a request that enters the system with this kind
 * @param atMostOnce whether a request must not run more than once, because a repeat would do harm
 * @param deadline the longest time for a complete answer; {@link Document#parse} permits at most 30 s
 * @param calls the calls that the backend server may make for one request
 * @param ticketed whether a caller needs a ticket to run it; if it runs at most once without a ticket, each attempt of
 *     a caller is a separate request, which the system sends at most once
 * @param maxAttempts the maximum number of backend servers that one request may be sent to; the limit of retries in
 *     the policy applies as well, and alone if this is empty
 */
public record Kind(
        String service,
        String name,
        PriorityClass priorityClass,
        boolean atMostOnce,
        Duration deadline,
        List<AllowedCall> calls,
        boolean ticketed,
        OptionalInt maxAttempts) {
    /** Copies the list of calls. */
    public Kind {
        calls = List.copyOf(calls);
    }

    /** Creates a kind that needs a ticket if it runs at most once, with the policy's number of retries. */
    public Kind(
            String service,
            String name,
            PriorityClass priorityClass,
            boolean atMostOnce,
            Duration deadline,
            List<AllowedCall> calls) {
        this(service, name, priorityClass, atMostOnce, deadline, calls, atMostOnce, OptionalInt.empty());
    }

    // The generated methods link method handles at run time and hash the list of calls; kinds are keys of maps that
    // every call reads.
    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof Kind kind
                        && service.equals(kind.service)
                        && name.equals(kind.name)
                        && priorityClass == kind.priorityClass
                        && atMostOnce == kind.atMostOnce
                        && deadline.equals(kind.deadline)
                        && calls.equals(kind.calls)
                        && ticketed == kind.ticketed
                        && maxAttempts.equals(kind.maxAttempts);
    }

    @Override
    public int hashCode() {
        return 31 * service.hashCode() + name.hashCode();
    }
}
