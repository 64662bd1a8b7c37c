package org.plantainshunt.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * The rules of a relay. If several match a connection, the one added last applies.
 *
 * <p>Thread-safe.
 */
final class RelayRules {
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<LinkRule> rules = new ArrayList<>();
    private final Map<String, Link> links = new HashMap<>();

    RelayRules() {
        rules.add(linkRule(RelayRule.forward("", "")));
    }

    /** Returns the rule for a connection; without a match, the default rule. */
    synchronized LinkRule find(String source, String target) {
        for (int index = rules.size() - 1; index > 0; index--) {
            if (rules.get(index).rule().matches(source, target)) {
                return rules.get(index);
            }
        }
        return rules.get(0);
    }

    /** Changes the rule with exactly these prefixes, or adds one. */
    synchronized void update(String from, String to, UnaryOperator<RelayRule> change) {
        RelayRule initial = RelayRule.forward(from, to);
        for (int index = 0; index < rules.size(); index++) {
            RelayRule rule = rules.get(index).rule();
            if (rule.hasSamePrefixes(initial)) {
                rules.set(index, linkRule(change.apply(rule)));
                return;
            }
        }
        rules.add(linkRule(change.apply(initial)));
    }

    /** Rules for opposite directions share a link, so requests one way and responses the other share its bandwidth. */
    private LinkRule linkRule(RelayRule rule) {
        boolean reversed = rule.from().compareTo(rule.to()) > 0;
        String link = reversed ? rule.to() + " " + rule.from() : rule.from() + " " + rule.to();
        return new LinkRule(rule, links.computeIfAbsent(link, name -> new Link()), reversed);
    }

    /** Removes all rules except the default, which forwards everything. */
    synchronized void heal() {
        rules.clear();
        rules.add(linkRule(RelayRule.forward("", "")));
    }

    /** A rule and the link that its connections share. */
    static final class LinkRule {
        private final RelayRule rule;
        private final Link link;
        private final boolean reversed;

        LinkRule(RelayRule rule, Link link, boolean reversed) {
            this.rule = rule;
            this.link = link;
            this.reversed = reversed;
        }

        RelayRule rule() {
            return rule;
        }

        /** Returns when bytes that arrive now are sent on; both times are {@link System#nanoTime} values. */
        long departureTime(boolean towardsTarget, int bytes, long now) {
            long latency = TimeUnit.MILLISECONDS.toNanos(rule.latencyMilliseconds());
            if (rule.bitsPerSecond() == 0) {
                return now + latency;
            }
            long duration = (long) (bytes * Byte.SIZE * NANOS_PER_SECOND / rule.bitsPerSecond());
            return link.reserve(towardsTarget != reversed, duration, now) + latency;
        }
    }

    /** Tracks until when a link of limited bandwidth is busy in each direction. */
    private static final class Link {
        private final long[] freeAt = new long[2];
        private final boolean[] used = new boolean[2];

        /** Reserves one direction of the link for a duration in nanoseconds and returns the end of the reservation. */
        synchronized long reserve(boolean forward, long duration, long now) {
            int direction = forward ? 1 : 0;
            long begin = used[direction] ? Math.max(now, freeAt[direction]) : now;
            used[direction] = true;
            freeAt[direction] = begin + duration;
            return freeAt[direction];
        }
    }
}
