package org.plantainshunt.http;

import java.util.Locale;
import java.util.Set;

/** The names of the headers that callers, nodes and backend servers exchange. */
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
    /** Set by a backend server that shed a request; not forwarded to callers. */
    static final String SHED = "Plantainshunt-Shed";

    private static final String OWN_PREFIX = "plantainshunt-";

    /** Hop-by-hop headers (RFC 9110, section 7.6.1), and those that the node or its HTTP library sets itself. */
    private static final Set<String> NOT_FORWARDED = Set.of(
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

    /** Returns whether a header of a request or a response is forwarded. */
    static boolean isForwarded(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !NOT_FORWARDED.contains(lower) && !lower.startsWith(OWN_PREFIX);
    }
}
