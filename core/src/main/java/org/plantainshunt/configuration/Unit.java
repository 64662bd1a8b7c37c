package org.plantainshunt.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The units of the values in a document.
 *
 * <p>Immutable and safe for use by any thread.
 */
enum Unit {
    MILLISECONDS("ms", Dimension.DURATION, 1_000_000L),
    SECONDS("s", Dimension.DURATION, 1_000_000_000L),
    MINUTES("min", Dimension.DURATION, 60_000_000_000L),
    BYTES("B", Dimension.SIZE, 1),
    KIBIBYTES("KiB", Dimension.SIZE, 1L << 10),
    MEBIBYTES("MiB", Dimension.SIZE, 1L << 20),
    KILOBITS_PER_SECOND("kbit/s", Dimension.RATE, 1_000),
    MEGABITS_PER_SECOND("Mbit/s", Dimension.RATE, 1_000_000),
    PERCENT("%", Dimension.SHARE, 1_000_000);

    /** The number of steps of {@link Dimension#SHARE} in 100 %. */
    static final double SHARE_STEPS = 100_000_000.0;

    private final String symbol;
    private final Dimension dimension;
    private final long factor;

    Unit(String symbol, Dimension dimension, long factor) {
        this.symbol = symbol;
        this.dimension = dimension;
        this.factor = factor;
    }

    /** The dimension of a value. A value is stored as a whole number of steps, whose size depends on the dimension. */
    enum Dimension {
        /** In steps of a nanosecond. */
        DURATION("20 ms"),
        /** In steps of a byte. */
        SIZE("1 MiB"),
        /** In steps of one bit per second. */
        RATE("30 Mbit/s"),
        /** In steps of a millionth of a percent. */
        SHARE("10 %");

        private final String example;

        Dimension(String example) {
            this.example = example;
        }

        /** Returns a hint on the expected form, for error messages. */
        String advice() {
            List<String> symbols = units().stream().map(Unit::symbol).toList();
            int last = symbols.size() - 1;
            String choice = last == 0
                    ? symbols.get(0)
                    : String.join(", ", symbols.subList(0, last)) + " or " + symbols.get(last);
            return "write a number in " + choice + ", for example " + example;
        }

        /** Returns the units of the dimension, the smallest first. */
        List<Unit> units() {
            List<Unit> units = new ArrayList<>();
            for (Unit unit : Unit.values()) {
                if (unit.dimension == this) {
                    units.add(unit);
                }
            }
            return units;
        }

        Unit smallestUnit() {
            return units().get(0);
        }

        Optional<Unit> unit(String symbol) {
            return units().stream().filter(unit -> unit.symbol.equals(symbol)).findFirst();
        }
    }

    String symbol() {
        return symbol;
    }

    /** Returns the number of steps of the dimension in one unit. */
    long factor() {
        return factor;
    }
}
