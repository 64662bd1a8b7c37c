package org.plantainshunt.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The errors found so far in one document.
 *
 * <p>Confined to the thread that parses the document.
 */
final class ErrorList {
    /** Limits the memory for errors: a document of 1 MB can hold half a million invalid lines. */
    static final int MAX_ERRORS = 200;

    private static final int MAX_QUOTE_LENGTH = 60;

    private static final int MAX_LISTED_NAMES = 20;

    private final List<DocumentError> errors = new ArrayList<>();
    private boolean full;

    void add(DocumentError error) {
        if (errors.size() < MAX_ERRORS - 1) {
            errors.add(error);
        } else {
            full = true;
        }
    }

    void add(DocumentErrorCode code, String message) {
        add(new DocumentError(0, "", "", code, message));
    }

    boolean isEmpty() {
        return errors.isEmpty();
    }

    /** Returns the errors in the order of their lines, those of the whole document first. */
    List<DocumentError> inOrder() {
        List<DocumentError> sorted = new ArrayList<>(errors);
        sorted.sort(Comparator.comparingInt(DocumentError::line).thenComparing(DocumentError::code));
        if (full) {
            sorted.add(new DocumentError(
                    0,
                    "",
                    "",
                    DocumentErrorCode.TOO_MANY_ERRORS,
                    "there are further errors; correct those above and check the document again"));
        }
        return sorted;
    }

    /** Returns the names for use in a message, limited to as many as are useful to a reader. */
    static String shorten(Collection<String> names) {
        String listed = names.stream().limit(MAX_LISTED_NAMES).collect(Collectors.joining(", "));
        return names.size() > MAX_LISTED_NAMES ? listed + ", ..." : listed;
    }

    /** Returns a part of the document in quotes, shortened and without control characters, for use in a message. */
    static String quote(String text) {
        String printable = text.replaceAll("\\p{C}", "?");
        if (printable.length() > MAX_QUOTE_LENGTH) {
            printable = printable.substring(0, MAX_QUOTE_LENGTH) + "...";
        }
        return '"' + printable + '"';
    }
}
