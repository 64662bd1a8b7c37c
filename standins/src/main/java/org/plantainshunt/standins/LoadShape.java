package org.plantainshunt.standins;

/** How the offered load varies over time: a factor on the rate of each kind, by seconds since the start. */
@FunctionalInterface
public interface LoadShape {
    /** The rate does not vary. */
    LoadShape STEADY = seconds -> 1;

    /** Returns the factor, which is above 0, at a time in seconds since the start. */
    double factorAt(double seconds);

    /**
     * Returns a shape with the given factor during an interval and 1 outside of it.
     *
     * @param from start of the interval in seconds
     * @param to end of the interval in seconds, exclusive
     * @param factor the factor during the interval
     */
    static LoadShape step(double from, double to, double factor) {
        return seconds -> seconds >= from && seconds < to ? factor : 1;
    }

    /**
     * Returns a triangle wave: the factor rises linearly from 1 to a peak and falls back, repeatedly.
     *
     * @param rise how long a rise or a fall takes, in seconds
     * @param factor the factor at the peak
     */
    static LoadShape triangleWave(double rise, double factor) {
        return seconds -> {
            double phase = seconds / rise % 2;
            return 1 + (factor - 1) * (phase < 1 ? phase : 2 - phase);
        };
    }

    /**
     * Parses {@code steady}, {@code step:FROM:TO:FACTOR} or {@code swing:RISE:FACTOR}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    static LoadShape parse(String text) {
        String[] parts = text.split(":", -1);
        if (parts[0].equals("steady") && parts.length == 1) {
            return STEADY;
        }
        if (parts[0].equals("step") && parts.length == 4) {
            return step(Double.parseDouble(parts[1]), Double.parseDouble(parts[2]), Double.parseDouble(parts[3]));
        }
        if (parts[0].equals("swing") && parts.length == 3) {
            return triangleWave(Double.parseDouble(parts[1]), Double.parseDouble(parts[2]));
        }
        throw new IllegalArgumentException("shape is not steady, step:FROM:TO:FACTOR or swing:RISE:FACTOR: " + text);
    }
}
