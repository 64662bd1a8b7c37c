package org.plantainshunt.protocol;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

class LoopTimerTest {
    private static final int TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Guards against a periodic task, such as the one for call timeouts, that stops for good when one run fails. */
    @Test
    void failedRunIsFollowedByNext() throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        LoopTimer timer = LoopTimer.every(loops.next(), Duration.ofMillis(20), "the test", () -> {
            runs.countDown();
            throw new StackOverflowError("thrown by the test");
        });
        assertTrue(
                runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                "the task stopped with " + runs.getCount() + " runs left");
        timer.cancel();
    }
}
