package org.plantainshunt.standins;

/**
 * How a relay treats the connections from some addresses to some targets.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param from prefix of the addresses that connect, written with a colon at their end; {@code 127.5.1.} matches a data
 *     centre of a fleet, {@code 127.5.1.1:} a single address, and an empty text all
 * @param to prefix of the targets as IP:PORT; an empty text matches all
 * @param mode what happens to connections and bytes
 * @param latencyMilliseconds added to the way of each byte, each way
 * @param bitsPerSecond bandwidth each way, shared with the rule of the opposite scope; 0 sets no bound
 */
record RelayRule(String from, String to, Mode mode, long latencyMilliseconds, long bitsPerSecond) {
    /** What happens to connections and bytes. */
    enum Mode {
        /** Bytes are passed on. */
        FORWARD,
        /** Open connections are reset and new ones are reset at once. */
        CUT,
        /** Open connections go on and new ones are reset at once. */
        REFUSE,
        /** Connections stay open, and no byte is passed on. */
        STALL
    }

    /** Returns the rule that changes nothing. */
    static RelayRule forward(String from, String to) {
        return new RelayRule(from, to, Mode.FORWARD, 0, 0);
    }

    boolean matches(String source, String target) {
        return source.startsWith(from) && target.startsWith(to);
    }

    boolean sameScope(RelayRule other) {
        return from.equals(other.from) && to.equals(other.to);
    }

    RelayRule withMode(Mode next) {
        return new RelayRule(from, to, next, latencyMilliseconds, bitsPerSecond);
    }

    RelayRule withLatency(long milliseconds) {
        return new RelayRule(from, to, mode, milliseconds, bitsPerSecond);
    }

    RelayRule withBandwidth(long bits) {
        return new RelayRule(from, to, mode, latencyMilliseconds, bits);
    }
}
