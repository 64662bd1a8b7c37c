package org.plantainshunt.call;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.plantainshunt.protocol.Header;

/**
 * A request as a caller sent it to an entry node.
 *
 * <p>Immutable but for the body, which nobody changes. Safe for use by any thread.
 *
 * @param service the service named in the path
 * @param kind the kind of request named in the path
 * @param path the rest of the path with its query, empty or starting with a slash or question mark
 * @param method the HTTP method
 * @param headers the headers to pass on
 * @param body the whole body
 * @param requestId the caller's id of the request, or a new one
 * @param ticket the ticket, if the caller has one
 * @param deadlineMilliseconds the caller's remaining time in milliseconds, if it states one
 * @param attempt 1 for the first attempt of the caller
 * @param context the context token, if the request is part of a chain; of a request that does not come from the backend
 *     server's own address, the id of the request that it may be made for
 * @param traceParent the W3C trace parent, or an empty text
 * @param fromBackendServer whether the request arrived at the outbound address
 * @param arrived when the node read the request, in nanoseconds of its monotonic clock
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
        long arrived) {}
