package org.plantainshunt.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * The rules of a relay. Where several match a connection, the one added last applies.
 *
 * <p>Safe for use by any thread.
 */
final class RelayRules {
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<Shared> rules = new ArrayList<>();
    private final Map<String, Link> links = new HashMap<>();

    RelayRules() {
        rules.add(shared(RelayRule.forward("", "")));
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
                rules.set(index, shared(change.apply(rule)));
                return;
            }
        }
        rules.add(shared(change.apply(scope)));
    }

    /** Rules of opposite scopes use one link: bytes of requests one way and of answers the other way share it. */
    private Shared shared(RelayRule rule) {
        boolean turned = rule.from().compareTo(rule.to()) > 0;
        String link = turned ? rule.to() + " " + rule.from() : rule.from() + " " + rule.to();
        return new Shared(rule, links.computeIfAbsent(link, name -> new Link()), turned);
    }

    /** Drops all rules. */
    synchronized void heal() {
        rules.clear();
        rules.add(shared(RelayRule.forward("", "")));
    }

    /** A rule and the link that its connections use. */
    static final class Shared {
        private final RelayRule rule;
        private final Link link;
        private final boolean turned;

        Shared(RelayRule rule, Link link, boolean turned) {
            this.rule = rule;
            this.link = link;
            this.turned = turned;
        }

        RelayRule rule() {
            return rule;
        }

        /** Returns when bytes that come now may leave; both times are nanoseconds of the monotonic clock. */
        long leaveAt(boolean towardsTarget, int bytes, long now) {
            long latency = TimeUnit.MILLISECONDS.toNanos(rule.latencyMilliseconds());
            if (rule.bitsPerSecond() == 0) {
                return now + latency;
            }
            long duration = (long) (bytes * Byte.SIZE * NANOS_PER_SECOND / rule.bitsPerSecond());
            return link.take(towardsTarget != turned, duration, now) + latency;
        }
    }

    /** The use of a link of bounded bandwidth, each way on its own. */
    private static final class Link {
        private final long[] freeAt = new long[2];
        private final boolean[] used = new boolean[2];

        /** Occupies the link for a duration in nanoseconds and returns when that ends. */
        synchronized long take(boolean forward, long duration, long now) {
            int way = forward ? 1 : 0;
            long begin = used[way] ? Math.max(now, freeAt[way]) : now;
            used[way] = true;
            freeAt[way] = begin + duration;
            return freeAt[way];
        }
    }
}
