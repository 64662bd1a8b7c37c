package org.plantainshunt.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the line numbers of the sections and keys of a document, and reports duplicates and malformed lines.
 *
 * <p>The INI reader of commons-configuration2 keeps no line numbers and merges repeated sections and keys, so this scan
 * runs before it. It also removes each line that the reader would interpret differently (quoted and continued values,
 * for example) and reports it as an error. Confined to one thread.
 */
final class LineScanner {
    private static final Pattern HEADING = Pattern.compile("\\[([^\\[\\]]*)\\]\\s*(?:[#;].*)?");
    private static final Pattern ENTRY = Pattern.compile("([a-z][a-z0-9-]*)\\s*=\\s*(.*)");
    private static final Pattern COMMENT_AFTER_VALUE = Pattern.compile("\\s[#;].*");
    private static final Pattern FORBIDDEN_IN_VALUE = Pattern.compile("[\"'\\\\\\p{Cc}]");

    private final ErrorList errors;
    private final Map<String, FoundSection> sections = new LinkedHashMap<>();
    private final StringBuilder accepted = new StringBuilder();
    private Optional<FoundSection> current = Optional.empty();
    private boolean headingSeen;

    /**
     * A section heading and the lines of its keys.
     *
     * @param line the line of the heading
     * @param type what the section describes
     * @param names the names in the heading
     * @param keyLines the line of each key
     */
    record FoundSection(int line, SectionType type, List<String> names, Map<String, Integer> keyLines) {}

    LineScanner(String text, ErrorList errors) {
        this.errors = errors;
        List<String> lines = text.lines().toList();
        for (int index = 0; index < lines.size(); index++) {
            scan(index + 1, lines.get(index).trim());
        }
    }

    /** Returns the sections by heading, in the order of the document. */
    Map<String, FoundSection> sections() {
        return sections;
    }

    /** Returns the valid lines, with each section and key once. */
    String acceptedText() {
        return accepted.toString();
    }

    private void scan(int number, String line) {
        if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
            return;
        }
        if (line.startsWith("[")) {
            scanHeading(number, line);
            return;
        }
        Matcher entry = ENTRY.matcher(line);
        if (entry.matches()) {
            scanEntry(number, entry.group(1), entry.group(2));
            return;
        }
        report(
                number,
                "",
                DocumentErrorCode.MALFORMED_LINE,
                "the line " + ErrorList.quote(line) + " is not understood; write [SECTION], KEY = VALUE or # COMMENT");
    }

    private void scanHeading(int number, String line) {
        headingSeen = true;
        current = Optional.empty();
        Matcher matcher = HEADING.matcher(line);
        if (!matcher.matches()) {
            report(
                    number,
                    "",
                    DocumentErrorCode.MALFORMED_LINE,
                    "the heading " + ErrorList.quote(line)
                            + " is not understood; write [SECTION] on a line of its own");
            return;
        }
        String heading = matcher.group(1);
        List<String> words = List.of(heading.split(" ", -1));
        Optional<SectionType> type = SectionType.ofWord(words.get(0));
        if (type.isEmpty()) {
            report(
                    number,
                    heading,
                    DocumentErrorCode.UNKNOWN_SECTION,
                    "there is no section " + ErrorList.quote(heading) + "; write one of " + allForms());
            return;
        }
        if (words.size() != type.get().nameCount() + 1) {
            report(
                    number,
                    heading,
                    DocumentErrorCode.UNKNOWN_SECTION,
                    "the heading has " + (words.size() - 1) + " names; write "
                            + type.get().form() + " with single spaces");
            return;
        }
        List<String> names = words.subList(1, words.size());
        for (String name : names) {
            if (!Names.isName(name)) {
                report(
                        number,
                        heading,
                        DocumentErrorCode.INVALID_NAME,
                        "the name " + ErrorList.quote(name) + " is not allowed; " + Names.FORM);
                return;
            }
        }
        openSection(number, heading, type.get(), names);
    }

    private void openSection(int number, String heading, SectionType type, List<String> names) {
        FoundSection earlier = sections.get(heading);
        if (earlier != null) {
            report(
                    number,
                    heading,
                    DocumentErrorCode.DUPLICATE_SECTION,
                    "the section was given in line " + earlier.line() + "; write all its keys there");
            return;
        }
        FoundSection section = new FoundSection(number, type, names, new LinkedHashMap<>());
        sections.put(heading, section);
        current = Optional.of(section);
        accepted.append('[').append(heading).append("]\n");
    }

    private void scanEntry(int number, String key, String rawValue) {
        if (!headingSeen) {
            errors.add(new DocumentError(
                    number,
                    "",
                    key,
                    DocumentErrorCode.KEY_OUTSIDE_SECTION,
                    "the key stands before the first section; write it below a heading such as [document]"));
            return;
        }
        if (current.isEmpty()) {
            // The invalid heading is reported already, and its valid keys are not known.
            return;
        }
        FoundSection section = current.get();
        String heading = section.type().heading(section.names());
        if (!section.type().keys().contains(key)) {
            errors.add(new DocumentError(number, heading, key, DocumentErrorCode.UNKNOWN_KEY, unknownKey(section)));
            return;
        }
        Integer earlier = section.keyLines().get(key);
        if (earlier != null) {
            errors.add(new DocumentError(
                    number,
                    heading,
                    key,
                    DocumentErrorCode.DUPLICATE_KEY,
                    "the key was given in line " + earlier + "; write it once"));
            return;
        }
        section.keyLines().put(key, number);
        String value = COMMENT_AFTER_VALUE.matcher(rawValue).replaceFirst("").trim();
        if (FORBIDDEN_IN_VALUE.matcher(value).find()) {
            errors.add(new DocumentError(
                    number,
                    heading,
                    key,
                    DocumentErrorCode.MALFORMED_LINE,
                    "the value has a quote, a backslash or a control character; write it without, on one line"));
            return;
        }
        accepted.append(key).append(" = ").append(value).append('\n');
    }

    private static String unknownKey(FoundSection section) {
        List<String> keys = section.type().keys();
        return keys.isEmpty()
                ? "the section has no keys; remove this line"
                : "the section has no such key; write one of " + String.join(", ", keys);
    }

    private static String allForms() {
        List<String> forms = new ArrayList<>();
        for (SectionType type : SectionType.values()) {
            forms.add(type.form());
        }
        return String.join(", ", forms);
    }

    private void report(int line, String heading, DocumentErrorCode code, String message) {
        String section = heading.isEmpty() ? "" : ErrorList.quote(heading).replace("\"", "");
        errors.add(new DocumentError(line, section, "", code, message));
    }
}
