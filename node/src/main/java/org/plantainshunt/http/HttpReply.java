package org.plantainshunt.http;

import java.util.List;
import java.util.Optional;

import org.plantainshunt.protocol.Header;

/**
 * A whole HTTP answer.
 *
 * <p>Immutable but for the body, which nobody changes.
 *
 * @param status the status
 * @param headers the header fields, without those that concern one connection only
 * @param body the whole body
 */
public record HttpReply(int status, List<Header> headers, byte[] body) {
    /** Returns the value of the first field of this name, whose case does not matter. */
    public Optional<String> header(String name) {
        return Headers.first(headers, name);
    }
}
