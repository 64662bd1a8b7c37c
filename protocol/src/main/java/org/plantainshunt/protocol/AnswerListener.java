package org.plantainshunt.protocol;

/**
 * Receives the result of one call: exactly one of the two methods is called, once.
 *
 * <p>A listener given to {@link InnerConnection#call} is called on an event loop, or on the calling thread once the
 * endpoint is closed, and must not block. A listener given to {@link CallHandler#call} may be called from any thread;
 * calls after the first are ignored.
 */
public interface AnswerListener {
    /** Called with the complete answer. */
    void answered(AnswerMessage answer);

    /** Called with the reason if the call ends without an answer. */
    void refused(RefusalMessage refusal);

    /**
     * Returns whether the call stays open while its peer is silent. A call that must not run again gains nothing from
     * an early end, and the peer may only be paused.
     */
    default boolean waitsForSilentPeer() {
        return false;
    }
}
