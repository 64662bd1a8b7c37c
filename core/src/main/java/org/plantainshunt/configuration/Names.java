package org.plantainshunt.configuration;

import java.util.regex.Pattern;

/**
 * The form of the names of documents, regions, data centres, services and kinds.
 *
 * <p>Names appear in URLs, headers and tickets, whose parts are separated by dots and slashes; lower-case letters,
 * digits and hyphens need no escaping in any of them.
 */
final class Names {
    static final int MAX_LENGTH = 63;

    static final String FORM = "write a lower-case letter, then lower-case letters, digits and hyphens, at most "
            + MAX_LENGTH + " characters";

    private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9-]{0," + (MAX_LENGTH - 1) + "}");

    private Names() {}

    static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }
}
