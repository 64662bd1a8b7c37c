package org.plantainshunt.http;

import java.util.Locale;
import java.util.Set;

/** The headers that callers, nodes and backend servers exchange. Immutable and safe for use by any thread. */
final class HeaderNames {
    static final String TICKET = "Plantainshunt-Ticket";
    static final String DEADLINE = "Plantainshunt-Deadline";
    static final String ATTEMPT = "Plantainshunt-Attempt";
    static final String REQUEST_ID = "Plantainshunt-Request-Id";
    static final String CONTEXT = "Plantainshunt-Context";
    static final String RESULT = "Plantainshunt-Result";
    static final String RUN = "Plantainshunt-Run";
    static final String TRACE_PARENT = "traceparent";
    static final String RETRY_AFTER = "Retry-After";
    /** By which a backend server says that it shed a request; not for callers. */
    static final String SHED = "Plantainshunt-Shed";

    private static final String OWN_PREFIX = "plantainshunt-";

    /** Headers that belong to one connection (RFC 9110, section 7.6.1), or that the HTTP library sets itself. */
    private static final Set<String> NOT_PASSED_ON = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "expect",
            TRACE_PARENT);

    private HeaderNames() {}

    /** Returns whether a header of a request or an answer belongs to the other end and is passed on. */
    static boolean passedOn(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !NOT_PASSED_ON.contains(lower) && !lower.startsWith(OWN_PREFIX);
    }
}
