package org.plantainshunt.configuration;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Formats values in the notation of a document, so that they can be copied into one.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class Notation {
    private Notation() {}

    /** Returns a duration with its unit, for example {@code 20 ms}. */
    public static String duration(Duration duration) {
        return format(duration.toNanos(), Unit.Dimension.DURATION);
    }

    /** Returns a number of bytes with its unit, for example {@code 1 MiB}. */
    public static String size(long bytes) {
        return format(bytes, Unit.Dimension.SIZE);
    }

    /** Returns a number of bits per second with its unit, for example {@code 30 Mbit/s}. */
    public static String rate(long bitsPerSecond) {
        return format(bitsPerSecond, Unit.Dimension.RATE);
    }

    /** Returns a share of 0 to 1 in percent, for example {@code 10 %}. */
    public static String share(double share) {
        return format(Math.round(share * Unit.SHARE_STEPS), Unit.Dimension.SHARE);
    }

    /** Returns the word for a class, for example {@code critical}. */
    public static String priorityClass(PriorityClass priorityClass) {
        return priorityClass.name().toLowerCase(Locale.ROOT);
    }

    /** Returns the word for whether a kind may run more than once: {@code at-most-once} or {@code repeatable}. */
    public static String runs(boolean atMostOnce) {
        return atMostOnce ? "at-most-once" : "repeatable";
    }

    /** Returns a list of calls, for example {@code recorder lookup-bell x2, archive store x1}; empty for no calls. */
    public static String calls(List<AllowedCall> calls) {
        return calls.stream()
                .map(call -> call.service() + " " + call.kind() + " x" + call.count())
                .collect(Collectors.joining(", "));
    }

    /** Uses the largest unit that gives a whole number, or else a fraction of the smallest unit. */
    private static String format(long steps, Unit.Dimension dimension) {
        Unit chosen = dimension.smallestUnit();
        for (Unit unit : dimension.units()) {
            if (steps != 0 && steps % unit.factor() == 0) {
                chosen = unit;
            }
        }
        BigDecimal number = BigDecimal.valueOf(steps).divide(BigDecimal.valueOf(chosen.factor()));
        return number.stripTrailingZeros().toPlainString() + " " + chosen.symbol();
    }
}
