package org.plantainshunt.node;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import ch.qos.logback.classic.LoggerContext;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertTrue;

class LogConfigurationTest {
    private static final int LINES = 5_000;

    /** An event loop that logs must not block when the reader of standard output is stuck. */
    @Test
    @Timeout(20)
    void loggingDoesNotWaitForAReaderThatIsStuck() throws Exception {
        CountDownLatch stuck = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        PrintStream before = System.out;
        LoggerContext loggers = new LoggerContext();
        try {
            System.setOut(new PrintStream(new OutputStream() {
                @Override
                public void write(int value) {
                    stuck.countDown();
                    try {
                        released.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
            }));
            LogConfiguration configuration = new LogConfiguration();
            configuration.setContext(loggers);
            configuration.configure(loggers);
            for (int line = 0; line < LINES; line++) {
                loggers.getLogger("test").info("line {}", line);
            }
            assertTrue(stuck.await(10, TimeUnit.SECONDS), "nothing was written");
        } finally {
            released.countDown();
            System.setOut(before);
            loggers.stop();
        }
    }
}
