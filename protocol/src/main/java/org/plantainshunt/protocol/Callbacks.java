package org.plantainshunt.protocol;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs callbacks of other modules so that an exception in one does not affect other calls of the connection. */
final class Callbacks {
    private static final Logger LOGGER = LoggerFactory.getLogger(Callbacks.class);

    private Callbacks() {}

    /** Runs a callback and logs any exception it throws. */
    static void run(Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException exception) {
            LOGGER.error("callback failed", exception);
        }
    }
}
