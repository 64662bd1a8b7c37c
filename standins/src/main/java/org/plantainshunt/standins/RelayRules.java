package org.plantainshunt.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * The rules of a relay. Where several match a connection, the one added last applies.
 *
 * <p>Safe for use by any thread.
 */
final class RelayRules {
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<Shared> rules = new ArrayList<>();

    RelayRules() {
        rules.add(new Shared(RelayRule.forward("", "")));
    }

    /** Returns the rule for a connection. */
    synchronized Shared find(String source, String target) {
        for (int index = rules.size() - 1; index > 0; index--) {
            if (rules.get(index).rule().matches(source, target)) {
                return rules.get(index);
            }
        }
        return rules.get(0);
    }

    /** Changes the rule of exactly this scope, or adds one. */
    synchronized void change(String from, String to, UnaryOperator<RelayRule> change) {
        RelayRule scope = RelayRule.forward(from, to);
        for (int index = 0; index < rules.size(); index++) {
            RelayRule rule = rules.get(index).rule();
            if (rule.sameScope(scope)) {
                rules.set(index, new Shared(change.apply(rule)));
                return;
            }
        }
        rules.add(new Shared(change.apply(scope)));
    }

    /** Drops all rules. */
    synchronized void heal() {
        rules.clear();
        rules.add(new Shared(RelayRule.forward("", "")));
    }

    /** A rule with the use of its bandwidth in each direction. */
    static final class Shared {
        private final RelayRule rule;
        private final long[] freeAt = new long[2];

        Shared(RelayRule rule) {
            this.rule = rule;
        }

        RelayRule rule() {
            return rule;
        }

        /** Returns when bytes that come now may leave; both times are nanoseconds of the monotonic clock. */
        synchronized long leaveAt(boolean towardsTarget, int bytes, long now) {
            long latency = rule.latencyMilliseconds() * 1_000_000;
            if (rule.bitsPerSecond() == 0) {
                return now + latency;
            }
            int direction = towardsTarget ? 1 : 0;
            long begin = freeAt[direction] == 0 ? now : Math.max(now, freeAt[direction]);
            freeAt[direction] = begin + (long) (bytes * Byte.SIZE * NANOS_PER_SECOND / rule.bitsPerSecond());
            return freeAt[direction] + latency;
        }
    }
}
