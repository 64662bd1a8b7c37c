package org.plantainshunt.node;

import java.util.concurrent.CountDownLatch;

/** Waits for SIGTERM and stops a node as planned. Stateless. */
public final class StopSignal {
    private StopSignal() {}

    /**
     * Returns when the node has stopped after a signal, or when this thread is interrupted.
     *
     * @param node the node
     * @param atSignal runs before the node is stopped
     */
    public static void await(Node node, Runnable atSignal) {
        CountDownLatch stopped = new CountDownLatch(1);
        Runnable stop = () -> {
            atSignal.run();
            node.close();
            LogConfiguration.flush();
            stopped.countDown();
        };
        Runtime.getRuntime().addShutdownHook(new Thread(stop, "stop"));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
