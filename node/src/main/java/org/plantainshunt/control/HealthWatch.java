package org.plantainshunt.control;

/**
 * Decides from the backend server's health answers whether it is leaving.
 *
 * <p>"Draining" counts at once, because new work may then be lost. Failures count only in a row, because health
 * endpoints lag or mislead, and never stop calls that succeed. Confined to one thread.
 */
public final class HealthWatch {
    private static final int FAILURES_IN_A_ROW = 3;

    private boolean draining;
    private int failures;

    /** Takes an answer and returns whether the state changed between draining and serving. */
    public boolean answered(Health health) {
        failures = health == Health.FAILING ? failures + 1 : 0;
        if (health == Health.FAILING) {
            return false;
        }
        boolean before = draining;
        draining = health == Health.DRAINING;
        return before != draining;
    }

    /** Returns whether the backend server is leaving. */
    public boolean draining() {
        return draining;
    }

    /** Returns whether the last answers were failures. */
    public boolean failing() {
        return failures >= FAILURES_IN_A_ROW;
    }

    /** What the health endpoint said; no answer counts as failing. */
    public enum Health {
        SERVING,
        DRAINING,
        FAILING
    }
}
