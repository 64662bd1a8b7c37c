package org.plantainshunt.control;

import java.util.Optional;
import java.util.function.Consumer;

/** Reads the platform's configuration service without blocking. Implementations are safe for use by any thread. */
public interface Platform extends AutoCloseable {
    /**
     * Reads a document.
     *
     * @param name the document's name
     * @param entityTag the tag of the last answer, if there was one
     * @param listener receives the answer once, on any thread; a failure is an answer of its own
     */
    void read(String name, Optional<String> entityTag, Consumer<Answer> listener);

    /** Returns whether a read with a tag waits for a newer document, so that it may follow the last one at once. */
    default boolean waitsForChange() {
        return false;
    }

    @Override
    default void close() {}

    /**
     * What the platform answered.
     *
     * @param state whether there is a document
     * @param body the document, empty unless it is new
     * @param entityTag the tag of the document, if the platform states one
     * @param detail what went wrong, for a person
     */
    record Answer(State state, byte[] body, Optional<String> entityTag, String detail) {
        private static final byte[] NO_BYTES = {};

        /** Creates an answer without a document. */
        public static Answer without(State state, String detail) {
            return new Answer(state, NO_BYTES, Optional.empty(), detail);
        }
    }

    /** Whether a read brought a document. */
    enum State {
        NEW_DOCUMENT,
        NOT_MODIFIED,
        FAILED
    }
}
