package org.plantainshunt.result;

/**
 * Thrown when a request is refused.
 *
 * <p>Carries no stack trace, because refusals are frequent under overload and do not indicate a defect.
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
