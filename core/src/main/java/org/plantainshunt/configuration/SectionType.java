package org.plantainshunt.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The sections of a document: their headings, required keys and keys with a default.
 *
 * <p>Immutable and safe for use by any thread.
 */
enum SectionType {
    DOCUMENT("document", List.of(), List.of("version", "name"), List.of()),
    REGION("region", List.of("REGION"), List.of(), List.of()),
    DATA_CENTRE("data-centre", List.of("DATA-CENTRE"), List.of("region"), List.of()),
    LINK("link", List.of("REGION", "REGION"), List.of("bandwidth", "latency"), List.of()),
    SERVICE(
            "service",
            List.of("SERVICE"),
            List.of("slots", "connections"),
            List.of("queue", "target-queue-delay", "long-work-share", "long-work-after")),
    KIND("kind", List.of("SERVICE", "KIND"), List.of("class", "runs", "deadline"), List.of("calls")),
    POLICY(
            "policy",
            List.of(),
            List.of(),
            List.of(
                    "retries-per-request",
                    "retry-budget",
                    "ticket-use-within",
                    "outcome-kept-for",
                    "largest-body",
                    "largest-answer"));

    private final String word;
    private final List<String> placeholders;
    private final List<String> required;
    private final List<String> optional;

    SectionType(String word, List<String> placeholders, List<String> required, List<String> optional) {
        this.word = word;
        this.placeholders = placeholders;
        this.required = required;
        this.optional = optional;
    }

    static Optional<SectionType> ofWord(String word) {
        for (SectionType type : values()) {
            if (type.word.equals(word)) {
                return Optional.of(type);
            }
        }
        return Optional.empty();
    }

    /** Returns the number of names after the first word of the heading. */
    int nameCount() {
        return placeholders.size();
    }

    /** Returns the form of the heading, for example {@code [kind SERVICE KIND]}. */
    String form() {
        return "[" + heading(placeholders) + "]";
    }

    /** Returns the heading without brackets. */
    String heading(List<String> givenNames) {
        return givenNames.isEmpty() ? word : word + " " + String.join(" ", givenNames);
    }

    List<String> required() {
        return required;
    }

    /** Returns all keys, those without a default first. */
    List<String> keys() {
        List<String> keys = new ArrayList<>(required);
        keys.addAll(optional);
        return keys;
    }
}
