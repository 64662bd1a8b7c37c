package org.plantainshunt.protocol;

import java.util.Objects;

/** One HTTP header of a call or of an answer. Immutable. */
public record Header(String name, String value) {
    /** Rejects null components. */
    public Header {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(value, "value");
    }
}
