package org.plantainshunt.protocol;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Calls code of other modules so that its failure does not reach the other calls of a connection. */
final class Callbacks {
    private static final Logger LOGGER = LoggerFactory.getLogger(Callbacks.class);

    private Callbacks() {}

    /** Runs a callback and logs its failure. */
    static void run(Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException exception) {
            LOGGER.error("callback failed", exception);
        }
    }
}
