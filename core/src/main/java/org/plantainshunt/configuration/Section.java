package org.plantainshunt.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A section as it is written in a document, before its values are interpreted.
 *
 * @param line the line of the heading, counted from 1
 * @param type what the section describes
 * @param names the names in the heading, as many as the type has
 * @param entries the keys with their values, in the order of the document
 */
record Section(int line, SectionType type, List<String> names, Map<String, Entry> entries) {
    /**
     * A key's value as it is written in the document.
     *
     * @param line the line of the key, counted from 1
     * @param value the text after the equals sign, without comment and surrounding blanks
     */
    record Entry(int line, String value) {}

    String name() {
        return names.get(0);
    }

    /** Returns the heading without brackets. */
    String heading() {
        String form = type.form();
        String word = form.substring(1, form.length() - 1).split(" ")[0];
        return names.isEmpty() ? word : word + " " + String.join(" ", names);
    }

    Optional<Entry> entry(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** Returns an error at a key, or at the heading if the key is absent. */
    DocumentError error(String key, DocumentErrorCode code, String message) {
        int errorLine = entry(key).map(Entry::line).orElse(line);
        return new DocumentError(errorLine, heading(), key, code, message);
    }
}
