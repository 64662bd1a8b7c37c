package org.plantainshunt.node;

import java.util.Map;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.Logger;

/**
 * Writes log lines as JSON to standard output.
 *
 * <p>It takes the place of an XML file, whose reading took a good part of the processor time of a start. Stateless.
 */
public final class LogConfiguration extends ContextAwareBase implements Configurator {
    /** Libraries that log each connection of a caller as an event. */
    private static final Map<String, Level> QUIETER = Map.of("ratpack", Level.WARN, "io.netty", Level.WARN);

    @Override
    public void configure(LoggerContext loggers) {
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(loggers);
        encoder.start();
        ConsoleAppender<ILoggingEvent> standardOutput = new ConsoleAppender<>();
        standardOutput.setContext(loggers);
        standardOutput.setName("standard-output");
        standardOutput.setEncoder(encoder);
        standardOutput.start();
        loggers.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.INFO);
        loggers.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(standardOutput);
        QUIETER.forEach((name, level) -> loggers.getLogger(name).setLevel(level));
    }
}
