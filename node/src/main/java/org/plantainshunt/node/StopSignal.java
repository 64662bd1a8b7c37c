package org.plantainshunt.node;

import java.util.concurrent.CountDownLatch;

/** Waits for SIGTERM and shuts a node down gracefully. Stateless. */
public final class StopSignal {
    private StopSignal() {}

    /**
     * Blocks until the node has stopped after a signal, or until this thread is interrupted.
     *
     * @param node the node
     * @param atSignal runs at the signal, before the node is stopped
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
