package org.plantainshunt.http;

import java.util.List;
import java.util.Optional;

import org.plantainshunt.protocol.Header;

/**
 * A whole HTTP request.
 *
 * <p>Immutable but for the body, which nobody changes.
 *
 * @param method the method
 * @param target the request target, a path with or without a query
 * @param headers all header fields, in the order of the message
 * @param body the whole body
 * @param arrived when its last byte was read, in nanoseconds of the node's monotonic clock
 */
public record HttpCall(String method, String target, List<Header> headers, byte[] body, long arrived) {
    /** Returns the value of the first field of this name, whose case does not matter. */
    public Optional<String> header(String name) {
        return Headers.first(headers, name);
    }
}
