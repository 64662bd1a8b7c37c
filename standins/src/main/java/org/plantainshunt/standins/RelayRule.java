package org.plantainshunt.standins;

/**
 * How a relay treats the connections whose source address and target match two prefixes.
 *
 * <p>Immutable.
 *
 * @param from prefix of the source address, which is matched with a trailing colon: {@code 127.5.1.} matches a data
 *     centre of a fleet, {@code 127.5.1.1:} a single address, and an empty string every address
 * @param to prefix of the target as IP:PORT; an empty string matches every target
 * @param mode whether connections are accepted and bytes forwarded
 * @param latencyMilliseconds latency added in each direction
 * @param bitsPerSecond bandwidth in each direction, shared with the rule for the opposite direction; 0 means unlimited
 */
record RelayRule(String from, String to, Mode mode, long latencyMilliseconds, long bitsPerSecond) {
    /** Whether connections are accepted and bytes forwarded. */
    enum Mode {
        /** Bytes are forwarded. */
        FORWARD,
        /** Open connections are reset, and new ones are reset on accept. */
        CUT,
        /** Open connections continue, and new ones are reset on accept. */
        REFUSE,
        /** Connections stay open, but no bytes are forwarded. */
        STALL
    }

    /** Returns a rule that forwards without added latency or bandwidth limit. */
    static RelayRule forward(String from, String to) {
        return new RelayRule(from, to, Mode.FORWARD, 0, 0);
    }

    boolean matches(String source, String target) {
        return source.startsWith(from) && target.startsWith(to);
    }

    boolean hasSamePrefixes(RelayRule other) {
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
