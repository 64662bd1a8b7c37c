package org.plantainshunt.node;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Brings what libraries log with the JDK's logging to the node's own log, which is JSON lines only. Without state. */
public final class JavaLogging extends Handler {
    private JavaLogging() {}

    /** Replaces the JDK's handlers, which write plain text to standard error. */
    public static void toLog() {
        LogManager.getLogManager().reset();
        java.util.logging.Logger.getLogger("").addHandler(new JavaLogging());
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
