package org.plantainshunt.http;

import java.util.List;
import java.util.Optional;

import org.plantainshunt.protocol.Header;

/**
 * A complete HTTP response.
 *
 * <p>Immutable, provided that nobody modifies the body array.
 *
 * @param status the HTTP status code
 * @param headers the header fields, without hop-by-hop fields
 * @param body the complete body
 */
public record BufferedHttpResponse(int status, List<Header> headers, byte[] body) {
    /** Returns the value of the first header field with this name, ignoring case. */
    public Optional<String> header(String name) {
        return Headers.first(headers, name);
    }
}
