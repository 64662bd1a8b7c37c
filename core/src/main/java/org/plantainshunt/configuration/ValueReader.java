package org.plantainshunt.configuration;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads typed values from one section and reports errors in them.
 *
 * <p>An invalid value is replaced by a substitute, which for most numbers is the minimum of the range, so that the
 * remaining checks can run; no document is built from it, because the error is reported. Confined to one thread.
 */
final class ValueReader {
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,18}");
    private static final Pattern QUANTITY = Pattern.compile("([0-9]{1,18}(?:\\.[0-9]{1,9})?)\\s*([A-Za-z/%]*)");

    private final Section section;
    private final ErrorList errors;

    ValueReader(Section section, ErrorList errors) {
        this.section = section;
        this.errors = errors;
    }

    /** Reports each required key that the section lacks. */
    void checkRequiredKeys() {
        for (String key : section.type().required()) {
            if (!section.has(key)) {
                report(key, DocumentErrorCode.MISSING_KEY, "the key is missing; add it to the section");
            }
        }
    }

    /** Returns the text of a key, or an empty string if it is absent. */
    String text(String key) {
        return section.entry(key).map(Section.Entry::value).orElse("");
    }

    int count(String key, Range range, int defaultValue) {
        return section.entry(key).isEmpty() ? defaultValue : (int) wholeNumber(key, range);
    }

    long wholeNumber(String key, Range range) {
        long min = Long.parseLong(range.min());
        Optional<Section.Entry> entry = section.entry(key);
        if (entry.isEmpty()) {
            return min;
        }
        String value = entry.get().value();
        if (!WHOLE_NUMBER.matcher(value).matches()) {
            reportValue(
                    key,
                    DocumentErrorCode.INVALID_NUMBER,
                    "is not a whole number without unit; write one from " + range.min() + " to " + range.max());
            return min;
        }
        return inRange(key, Long.parseLong(value), min, Long.parseLong(range.max()), range);
    }

    Duration duration(String key, Range range, Duration defaultValue) {
        return section.entry(key).isEmpty()
                ? defaultValue
                : Duration.ofNanos(quantity(key, Unit.Dimension.DURATION, range));
    }

    /**
     * Reads a deadline; one that is too long has a separate error code, because a planned stop waits for all calls
     * and so takes as long as the longest deadline.
     */
    Duration deadline(String key) {
        Optional<Section.Entry> entry = section.entry(key);
        Optional<Long> nanoseconds = entry.flatMap(found -> steps(found.value(), Unit.Dimension.DURATION));
        long max = steps(Ranges.DEADLINE.max(), Unit.Dimension.DURATION).orElseThrow();
        if (nanoseconds.isPresent() && nanoseconds.get() > max) {
            reportValue(
                    key,
                    DocumentErrorCode.DEADLINE_TOO_LONG,
                    "is too long, because a planned stop waits for each call; " + Ranges.DEADLINE.advice());
            return Duration.ZERO;
        }
        return duration(key, Ranges.DEADLINE, Duration.ZERO);
    }

    long size(String key, Range range, long defaultValue) {
        return section.entry(key).isEmpty() ? defaultValue : quantity(key, Unit.Dimension.SIZE, range);
    }

    long rate(String key, Range range) {
        return section.entry(key).isEmpty() ? 0 : quantity(key, Unit.Dimension.RATE, range);
    }

    double share(String key, Range range, double defaultValue) {
        return section.entry(key).isEmpty()
                ? defaultValue
                : quantity(key, Unit.Dimension.SHARE, range) / Unit.SHARE_STEPS;
    }

    /** Reads one of a list of words and returns its index, or 0 if the word is absent or not in the list. */
    int choice(String key, List<String> words) {
        Optional<Section.Entry> entry = section.entry(key);
        if (entry.isEmpty()) {
            return 0;
        }
        int index = words.indexOf(entry.get().value());
        if (index < 0) {
            reportValue(
                    key, DocumentErrorCode.INVALID_CHOICE, "is not allowed; write one of " + String.join(", ", words));
            return 0;
        }
        return index;
    }

    PriorityClass priorityClass(String key) {
        List<String> words = List.of(PriorityClass.values()).stream()
                .map(Notation::priorityClass)
                .toList();
        return PriorityClass.values()[choice(key, words)];
    }

    String name(String key) {
        Optional<Section.Entry> entry = section.entry(key);
        if (entry.isPresent() && !Names.isName(entry.get().value())) {
            reportValue(key, DocumentErrorCode.INVALID_NAME, "is not a name; " + Names.FORM);
        }
        return text(key);
    }

    void report(String key, DocumentErrorCode code, String message) {
        errors.add(section.error(key, code, message));
    }

    private void reportValue(String key, DocumentErrorCode code, String message) {
        report(key, code, ErrorList.quote(text(key)) + " " + message);
    }

    private long quantity(String key, Unit.Dimension dimension, Range range) {
        long min = steps(range.min(), dimension).orElseThrow();
        Matcher matcher = QUANTITY.matcher(text(key));
        if (!matcher.matches()) {
            reportValue(key, DocumentErrorCode.INVALID_NUMBER, "is not a number with a unit; " + dimension.advice());
            return min;
        }
        Optional<Unit> unit = dimension.unit(matcher.group(2));
        if (unit.isEmpty()) {
            String fault = matcher.group(2).isEmpty() ? "has no unit; " : "has another unit; ";
            reportValue(key, DocumentErrorCode.INVALID_UNIT, fault + dimension.advice());
            return min;
        }
        Optional<Long> steps = steps(text(key), dimension);
        if (steps.isEmpty()) {
            reportValue(key, DocumentErrorCode.OUT_OF_RANGE, "is too large or too fine; " + range.advice());
            return min;
        }
        return inRange(key, steps.get(), min, steps(range.max(), dimension).orElseThrow(), range);
    }

    private static Optional<Long> steps(String value, Unit.Dimension dimension) {
        Matcher matcher = QUANTITY.matcher(value);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        BigDecimal number = new BigDecimal(matcher.group(1));
        try {
            return dimension.unit(matcher.group(2)).map(unit -> number.multiply(BigDecimal.valueOf(unit.factor()))
                    .longValueExact());
        } catch (ArithmeticException e) {
            return Optional.empty();
        }
    }

    private long inRange(String key, long value, long min, long max, Range range) {
        if (value >= min && value <= max) {
            return value;
        }
        reportValue(key, DocumentErrorCode.OUT_OF_RANGE, "is out of range; " + range.advice());
        return min;
    }
}
