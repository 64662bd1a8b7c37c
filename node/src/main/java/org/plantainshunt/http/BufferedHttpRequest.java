package org.plantainshunt.http;

import java.util.List;
import java.util.Optional;

import org.plantainshunt.protocol.Header;

/**
 * A complete HTTP request.
 *
 * <p>Immutable, provided that nobody modifies the body array.
 *
 * @param method the method
 * @param target the request target, a path with or without a query
 * @param headers the header fields, without hop-by-hop fields, in the order of the message
 * @param body the complete body
 * @param arrivedAt the time when the last byte was read, in nanoseconds of the node's monotonic clock; not used in
 *     requests to the backend server
 */
public record BufferedHttpRequest(String method, String target, List<Header> headers, byte[] body, long arrivedAt) {
    /** Returns the value of the first header field with this name, ignoring case. */
    public Optional<String> header(String name) {
        return Headers.first(headers, name);
    }
}
