package org.plantainshunt.duty;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EventLoopWorkerTest {
    private static final int TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Guards against a periodic task that stops after an error such as a stack overflow, so that no timeout fires. */
    @Test
    void ticksContinueAfterError() throws Exception {
        CountDownLatch ticks = new CountDownLatch(3);
        EventLoopWorker worker = new EventLoopWorker(loops.next(), "test", 8, Duration.ofMillis(20), () -> {
            ticks.countDown();
            throw new StackOverflowError("thrown by the test");
        });
        assertTrue(ticks.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), ticks.getCount() + " ticks are missing");
        worker.close();
    }

    /** Guards against capacity that is not released after a task failed with an error. */
    @Test
    void failedTasksReleaseTheirCapacity() throws Exception {
        EventLoopWorker worker = new EventLoopWorker(loops.next(), "test", 8, Duration.ofSeconds(1), () -> {});
        for (int index = 0; index < 100; index++) {
            worker.submit(() -> {
                throw new StackOverflowError("thrown by the test");
            });
        }
        loops.next().submit(() -> {}).await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(0, worker.queueUtilization());
        worker.close();
    }
}
