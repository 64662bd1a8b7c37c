package org.plantainshunt.node;

import java.util.Map;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Configures Logback to write JSON lines to standard output from a thread of its own, so that an event loop never
 * blocks on a slow reader of the log. While the queue is full, lines are dropped.
 *
 * <p>It replaces an XML configuration file, whose parsing took a large part of the CPU time of a start. Stateless.
 */
public final class LogConfiguration extends ContextAwareBase implements Configurator {
    /** Higher log levels for libraries that log an event for each connection of a caller. */
    private static final Map<String, Level> LIBRARY_LEVELS = Map.of("ratpack", Level.WARN, "io.netty", Level.WARN);

    /** Holds the lines of a few seconds, given the rate limit of each kind of line. */
    private static final int QUEUED_LINES = 512;

    /** Writes the queued lines and stops logging; called when the process exits. */
    public static void flush() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext loggers) {
            loggers.stop();
        }
    }

    @Override
    public void configure(LoggerContext loggers) {
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(loggers);
        // The log has only texts, numbers and maps of them; the modules for other types take long to load.
        encoder.setFindAndRegisterJacksonModules(false);
        encoder.start();
        ConsoleAppender<ILoggingEvent> standardOutput = new ConsoleAppender<>();
        standardOutput.setContext(loggers);
        standardOutput.setName("standard-output");
        standardOutput.setEncoder(encoder);
        standardOutput.start();
        loggers.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.INFO);
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(loggers);
        queue.setQueueSize(QUEUED_LINES);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addAppender(standardOutput);
        queue.start();
        loggers.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(queue);
        LIBRARY_LEVELS.forEach((name, level) -> loggers.getLogger(name).setLevel(level));
    }
}
