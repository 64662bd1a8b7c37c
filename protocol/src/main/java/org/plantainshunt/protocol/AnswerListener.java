package org.plantainshunt.protocol;

/**
 * Receives the end of one call: exactly one of the two methods is called, once.
 *
 * <p>A listener given to {@link InnerConnection#call} is called on an event loop and must not block. A listener given
 * to {@link CallHandler#call} may be called from any thread; calls after the first are ignored.
 */
public interface AnswerListener {
    /** Takes the whole answer. */
    void answered(AnswerMessage answer);

    /** Takes the reason why there is no answer. */
    void refused(RefusalMessage refusal);
}
