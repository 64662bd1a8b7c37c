package org.plantainshunt.protocol;

import java.time.Duration;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Settings of an {@link InnerEndpoint}.
 *
 * @param vm name of this VM
 * @param incarnation random number of this process
 * @param sharedSecret secret that all nodes know; not empty
 * @param maximumBodyBytes largest body of a call and of an answer, in bytes, sent or received
 * @param eventLoopThreads number of threads for all connections
 * @param draining whether this node is leaving; read at each handshake, by several threads
 * @param documentNumber version of the configuration in force; read at each handshake, by several threads
 * @param silence time without a sign of life after which a peer with open calls is asked for one; after another such
 *     time its connection is closed
 */
public record InnerSettings(
        String vm,
        long incarnation,
        String sharedSecret,
        int maximumBodyBytes,
        int eventLoopThreads,
        Supplier<Boolean> draining,
        LongSupplier documentNumber,
        Duration silence) {
    /** Longest name of a VM, in characters; keeps the frames of the handshake small. */
    public static final int MAXIMUM_VM_NAME = 128;

    /** Fits calls of many seconds, and links that lose a packet now and then. */
    private static final Duration USUAL_SILENCE = Duration.ofSeconds(5);

    /** Creates settings with the usual silence, 5 s. */
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
                USUAL_SILENCE);
    }

    /** Returns the same settings with another silence. */
    public InnerSettings withSilence(Duration other) {
        return new InnerSettings(
                vm, incarnation, sharedSecret, maximumBodyBytes, eventLoopThreads, draining, documentNumber, other);
    }

    /** Checks the settings. */
    public InnerSettings {
        Objects.requireNonNull(draining, "draining");
        Objects.requireNonNull(documentNumber, "documentNumber");
        require(!vm.isEmpty() && vm.length() <= MAXIMUM_VM_NAME, "vm must have 1 to 128 characters");
        require(!sharedSecret.isEmpty(), "sharedSecret must not be empty");
        require(maximumBodyBytes >= 0, "maximumBodyBytes must not be negative");
        require(eventLoopThreads > 0, "eventLoopThreads must be positive");
    }

    /** Describes the settings without the secret, so that it does not reach a log. */
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
