package org.plantainshunt.cli;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.replay.Outcomes;
import org.plantainshunt.replay.Tally;

/** The kinds of expected outcome that a line of a {@code .statements} file can state. */
enum Statement {
    ANSWERED("(\\w+): at least (\\d+) % answered within the deadline(?: from second (\\d+))?") {
        @Override
        Optional<String> check(Matcher line, Outcomes outcomes) {
            int from = line.group(3) == null ? 0 : Integer.parseInt(line.group(3));
            List<Tally> tallies = outcomes.seconds().stream()
                    .filter(second -> second >= from)
                    .map(second -> outcomes.tally(second, priorityClass(line)))
                    .toList();
            int offered = tallies.stream().mapToInt(Tally::getOffered).sum();
            int answered = tallies.stream().mapToInt(Tally::getAnswered).sum();
            boolean holds = offered > 0 && answered * 100L >= offered * Long.parseLong(line.group(2));
            return failureUnless(holds, answered + " of " + offered);
        }
    },
    SHED_ORDER("(\\w+): not refused for overload before sheddable in the same second") {
        @Override
        Optional<String> check(Matcher line, Outcomes outcomes) {
            List<Integer> seconds = outcomes.seconds().stream()
                    .filter(second -> firstOverloadRefusalTime(outcomes, second, priorityClass(line))
                            < firstOverloadRefusalTime(outcomes, second, PriorityClass.SHEDDABLE))
                    .toList();
            return failureUnless(seconds.isEmpty(), "refused first in seconds " + seconds);
        }
    },
    ANSWERED_IN_SECOND("all: at least (\\d+) answered in second (\\d+)") {
        @Override
        Optional<String> check(Matcher line, Outcomes outcomes) {
            int answered = IntStream.range(0, PriorityClass.values().length)
                    .map(i -> outcomes.tally(Integer.parseInt(line.group(2)), PriorityClass.values()[i])
                            .getAnswered())
                    .sum();
            return failureUnless(answered >= Integer.parseInt(line.group(1)), answered + " answered");
        }
    },
    QUEUE_DELAY("all: queue delay p99 at most (\\d+) ms") {
        @Override
        Optional<String> check(Matcher line, Outcomes outcomes) {
            long p99 = outcomes.queueDelay(99);
            return failureUnless(p99 <= Long.parseLong(line.group(1)) * 1000, p99 + " us");
        }
    },
    LEVEL("level: 512 from (\\d+) s") {
        @Override
        Optional<String> check(Matcher line, Outcomes outcomes) {
            long last = outcomes.lastReducedLevelTime().orElse(-1);
            return failureUnless(last < Long.parseLong(line.group(1)) * 1_000_000, "lower at " + last + " us");
        }
    };

    private final Pattern pattern;

    Statement(String regex) {
        this.pattern = Pattern.compile(regex);
    }

    /** Returns why a statement does not hold, or empty if it does. */
    static Optional<String> check(String line, Outcomes outcomes) {
        for (Statement statement : values()) {
            Matcher matcher = statement.pattern.matcher(line);
            if (matcher.matches()) {
                return statement.check(matcher, outcomes);
            }
        }
        return Optional.of("not a statement");
    }

    abstract Optional<String> check(Matcher line, Outcomes outcomes);

    private static PriorityClass priorityClass(Matcher line) {
        return PriorityClass.valueOf(line.group(1).toUpperCase(Locale.ROOT));
    }

    private static long firstOverloadRefusalTime(Outcomes outcomes, int second, PriorityClass priorityClass) {
        return outcomes.tally(second, priorityClass).firstOverloadRefusalTime().orElse(Long.MAX_VALUE);
    }

    private static Optional<String> failureUnless(boolean holds, String actual) {
        return holds ? Optional.empty() : Optional.of(actual);
    }
}
