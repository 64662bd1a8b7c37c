package org.plantainshunt.call;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.plantainshunt.protocol.Header;

/**
 * A request as a caller sent it to an entry node.
 *
 * <p>Immutable, provided that the body array is not modified. Safe for use by any thread.
 *
 * @param service the service named in the path
 * @param kind the kind of request named in the path
 * @param path the rest of the path with its query, empty or starting with a slash or question mark
 * @param method the HTTP method
 * @param headers the headers to pass on
 * @param body the complete body
 * @param requestId the caller's id of the request, or a new one
 * @param ticket the ticket, if the caller has one
 * @param deadlineMilliseconds the time left until the caller's deadline in milliseconds, if it states one
 * @param attempt 1 for the first attempt of the caller
 * @param context the context token, if the request is part of a chain; for a request that did not arrive at the
 *     outbound address, the id of the request that it may be made for
 * @param traceParent the W3C trace parent, or an empty string
 * @param fromBackendServer whether the request arrived at the outbound address
 * @param arrivedAt when the node read the request, in nanoseconds of its monotonic clock
 */
public record InboundCall(
        String service,
        String kind,
        String path,
        String method,
        List<Header> headers,
        byte[] body,
        String requestId,
        Optional<String> ticket,
        OptionalLong deadlineMilliseconds,
        int attempt,
        Optional<String> context,
        String traceParent,
        boolean fromBackendServer,
        long arrivedAt) {}
