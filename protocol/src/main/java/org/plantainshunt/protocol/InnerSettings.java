package org.plantainshunt.protocol;

import java.time.Duration;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Settings of an {@link InnerEndpoint}.
 *
 * @param vm name of this VM
 * @param incarnation random number that identifies this process
 * @param sharedSecret secret shared by all nodes; not empty
 * @param maximumBodyBytes largest body of a call and of an answer, in bytes, sent or received
 * @param eventLoopThreads number of threads for all connections
 * @param draining whether this node is draining; read at each handshake, by several threads
 * @param documentNumber version of the active configuration; read at each handshake, by several threads
 * @param keepAliveInterval interval at which connections are checked for incoming frames; a peer that sent none since
 *     the last check is pinged if calls or ticket requests to it are open or frames are waiting to be sent, and the
 *     connection is closed if nothing arrives until the next check
 */
public record InnerSettings(
        String vm,
        long incarnation,
        String sharedSecret,
        int maximumBodyBytes,
        int eventLoopThreads,
        Supplier<Boolean> draining,
        LongSupplier documentNumber,
        Duration keepAliveInterval) {
    /** Maximum length of a VM name, in characters; keeps handshake frames within their size limit. */
    public static final int MAXIMUM_VM_NAME_LENGTH = 128;

    /** Allows for calls that run for many seconds and for links with occasional packet loss. */
    private static final Duration DEFAULT_KEEP_ALIVE_INTERVAL = Duration.ofSeconds(5);

    /** Creates settings with the default keep-alive interval, 5 s. */
    public InnerSettings(
            String vm,
            long incarnation,
            String sharedSecret,
            int maximumBodyBytes,
            int eventLoopThreads,
            Supplier<Boolean> draining,
            LongSupplier documentNumber) {
        this(
                vm,
                incarnation,
                sharedSecret,
                maximumBodyBytes,
                eventLoopThreads,
                draining,
                documentNumber,
                DEFAULT_KEEP_ALIVE_INTERVAL);
    }

    /** Returns a copy of the settings with another keep-alive interval. */
    public InnerSettings withKeepAliveInterval(Duration other) {
        return new InnerSettings(
                vm, incarnation, sharedSecret, maximumBodyBytes, eventLoopThreads, draining, documentNumber, other);
    }

    /** Checks the settings. */
    public InnerSettings {
        Objects.requireNonNull(draining, "draining");
        Objects.requireNonNull(documentNumber, "documentNumber");
        require(!vm.isEmpty() && vm.length() <= MAXIMUM_VM_NAME_LENGTH, "vm must have 1 to 128 characters");
        require(!sharedSecret.isEmpty(), "sharedSecret must not be empty");
        require(maximumBodyBytes >= 0, "maximumBodyBytes must not be negative");
        require(eventLoopThreads > 0, "eventLoopThreads must be positive");
    }

    /** Omits the shared secret, so that it does not end up in a log. */
    @Override
    public String toString() {
        return "InnerSettings[vm=" + vm + ", incarnation=" + incarnation + ", maximumBodyBytes=" + maximumBodyBytes
                + ", eventLoopThreads=" + eventLoopThreads + "]";
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
