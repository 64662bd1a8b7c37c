package org.plantainshunt.node;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Forwards java.util.logging records of libraries to the node's SLF4J log, which has JSON lines only. Stateless. */
public final class JulBridge extends Handler {
    private JulBridge() {}

    /** Replaces the default java.util.logging handlers, which write plain text to standard error. */
    public static void install() {
        LogManager.getLogManager().reset();
        java.util.logging.Logger.getLogger("").addHandler(new JulBridge());
    }

    @Override
    public void publish(LogRecord entry) {
        Logger logger = LoggerFactory.getLogger(String.valueOf(entry.getLoggerName()));
        if (entry.getLevel().intValue() >= Level.SEVERE.intValue()) {
            logger.error(entry.getMessage(), entry.getThrown());
        } else if (entry.getLevel().intValue() >= Level.WARNING.intValue()) {
            logger.warn(entry.getMessage(), entry.getThrown());
        } else {
            logger.info(entry.getMessage(), entry.getThrown());
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
