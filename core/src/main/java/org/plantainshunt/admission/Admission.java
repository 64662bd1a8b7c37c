package org.plantainshunt.admission;

/**
 * The decision of an {@link AdmissionQueue} on a call that was offered to it.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum Admission {
    /** The call starts now and holds a slot. */
    START,
    /** The call waits until {@link AdmissionQueue#startable} returns it or the queue refuses it. */
    WAIT,
    /** The call is refused; the consumer of refusals has already received the reason. */
    REFUSE
}
