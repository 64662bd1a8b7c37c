package org.plantainshunt.control;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.plantainshunt.configuration.VmList;

/** Reads the platform's configuration service without blocking. Implementations are safe for use by any thread. */
public interface Platform extends AutoCloseable {
    /**
     * Reads a document.
     *
     * @param name the document's name
     * @param entityTag the tag of the last document that was read, if it had one
     * @param listener receives the answer exactly once, on any thread; a failure is reported as an answer too
     */
    void read(String name, Optional<String> entityTag, Consumer<Answer> listener);

    /** Returns whether a read with a tag waits for a newer document (long polling), so that reads need no delay. */
    default boolean waitsForChange() {
        return false;
    }

    /** Returns whether the answer to an open read is overdue, so that changes may be missed; on the control thread. */
    default boolean isSilent() {
        return false;
    }

    /**
     * Reports the VM list in force to a node that does not read the store itself, so that its next read starts from it;
     * called on the control thread.
     */
    default void learned(VmList list) {}

    /** Reports the names of the services in a new configuration; called on the control thread. */
    default void configured(Set<String> services) {}

    /** Returns the number of entries in the platform's list of backend servers that were ignored as unusable. */
    default long ignoredEntries() {
        return 0;
    }

    /** Returns how often the platform's store was seen to come back from an older copy. */
    default long storeEras() {
        return 0;
    }

    @Override
    default void close() {}

    /**
     * An answer of the platform.
     *
     * @param state whether there is a new document
     * @param body the document, empty unless it is new
     * @param entityTag the tag of the document, if the platform states one
     * @param detail a human-readable description of a failure
     */
    record Answer(State state, byte[] body, Optional<String> entityTag, String detail) {
        private static final byte[] NO_BYTES = {};

        /** Creates an answer without a document. */
        public static Answer without(State state, String detail) {
            return new Answer(state, NO_BYTES, Optional.empty(), detail);
        }
    }

    /** The result of a read. */
    enum State {
        NEW_DOCUMENT,
        NOT_MODIFIED,
        FAILED
    }
}
