package org.plantainshunt.admission;

/**
 * What becomes of a call that is offered to an {@link AdmissionQueue}.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum Admission {
    /** Hand it over now; it holds a slot. */
    START,
    /** It waits; {@link AdmissionQueue#startable} returns it, or it is refused later. */
    WAIT,
    /** It is refused, and the reason has been given already. */
    REFUSE
}
