package org.plantainshunt.control;

/**
 * Decides from the backend server's health responses whether it is draining.
 *
 * <p>"Draining" takes effect at once, because new calls may be lost from then on. Failures never start or end a drain
 * and are reported only after several in a row, because health endpoints may lag or be wrong and must not stop calls
 * that succeed. Confined to one thread.
 */
public final class HealthWatch {
    private static final int FAILURE_THRESHOLD = 3;

    private boolean draining;
    private int consecutiveFailures;

    /** Handles a health response and returns whether the state changed between draining and serving. */
    public boolean update(Health health) {
        consecutiveFailures = health == Health.FAILING ? consecutiveFailures + 1 : 0;
        if (health == Health.FAILING) {
            return false;
        }
        boolean before = draining;
        draining = health == Health.DRAINING;
        return before != draining;
    }

    /** Returns whether the backend server is draining. */
    public boolean draining() {
        return draining;
    }

    /** Returns whether the last {@code FAILURE_THRESHOLD} responses were failures. */
    public boolean failing() {
        return consecutiveFailures >= FAILURE_THRESHOLD;
    }

    /** The state that the health endpoint reported, or {@link #FAILING} if it sent no valid response. */
    public enum Health {
        SERVING,
        DRAINING,
        FAILING
    }
}
