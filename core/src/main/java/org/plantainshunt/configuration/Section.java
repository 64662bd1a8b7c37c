package org.plantainshunt.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A section as it is written in a document, before its values are interpreted.
 *
 * @param line the line of the heading, counted from 1
 * @param type what the section describes
 * @param names the names in the heading, as many as the type has
 * @param entries the keys with their values, in the order of the document
 * @param malformedKeys the keys whose values are malformed; they have no entry, and their errors are reported already
 */
record Section(int line, SectionType type, List<String> names, Map<String, Entry> entries, Set<String> malformedKeys) {
    /**
     * A key's value as it is written in the document.
     *
     * @param line the line of the key, counted from 1
     * @param value the text after the equals sign, without comment and surrounding whitespace
     */
    record Entry(int line, String value) {}

    String name() {
        return names.get(0);
    }

    /** Returns the heading without brackets. */
    String heading() {
        return type.heading(names);
    }

    Optional<Entry> entry(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** Returns whether a key is present, with a valid or a malformed value. */
    boolean has(String key) {
        return entries.containsKey(key) || malformedKeys.contains(key);
    }

    /** Returns an error at a key, or at the heading if the key is absent. */
    DocumentError error(String key, DocumentErrorCode code, String message) {
        int errorLine = entry(key).map(Entry::line).orElse(line);
        return new DocumentError(errorLine, heading(), key, code, message);
    }
}
