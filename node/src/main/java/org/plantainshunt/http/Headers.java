package org.plantainshunt.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.plantainshunt.protocol.Header;

/** Converts Netty's headers to those of the inner protocol, without hop-by-hop fields. Stateless. */
final class Headers {
    /** The hop-by-hop fields, and those for message framing, which each hop sets anew. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "content-length",
            "upgrade",
            "expect");

    private Headers() {}

    /** Returns the end-to-end fields: without hop-by-hop fields and those named by the Connection header. */
    static List<Header> endToEnd(HttpHeaders headers) {
        Set<String> named = namedByConnection(headers);
        List<Header> kept = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> field : headers) {
            String name = field.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
                kept.add(new Header(field.getKey(), field.getValue()));
            }
        }
        return kept;
    }

    static Optional<String> first(List<Header> headers, String name) {
        for (Header header : headers) {
            if (header.name().equalsIgnoreCase(name)) {
                return Optional.of(header.value());
            }
        }
        return Optional.empty();
    }

    private static Set<String> namedByConnection(HttpHeaders headers) {
        if (!headers.contains(HttpHeaderNames.CONNECTION)) {
            return Set.of();
        }
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }
}
