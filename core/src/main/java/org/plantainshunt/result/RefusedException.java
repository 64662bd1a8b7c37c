package org.plantainshunt.result;

/**
 * Thrown where a decision refuses a request.
 *
 * <p>Carries no stack trace, because refusals are frequent under overload and are no defects.
 */
public class RefusedException extends Exception {
    private final transient Refusal refusal;

    /** Creates the exception for a refusal. */
    public RefusedException(Refusal refusal) {
        super(refusal.code() + ": " + refusal.detail(), null, false, false);
        this.refusal = refusal;
    }

    /** Returns the refusal. */
    public Refusal refusal() {
        return refusal;
    }
}
