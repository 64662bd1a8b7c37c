package org.plantainshunt.protocol;

import java.util.List;
import java.util.Optional;

/**
 * The rules for the status and the header fields of an answer that is passed on, wherever it was read. Stateless.
 */
public final class AnswerRules {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final char DELETE = 0x7f;

    private AnswerRules() {}

    /** Returns why an answer must not be passed on, or empty if it may be. */
    public static Optional<String> violation(int status, List<Header> headers) {
        if (status < FIRST_FINAL_STATUS || status > LAST_STATUS) {
            return Optional.of("the status " + status + " is not that of an answer");
        }
        for (Header header : headers) {
            if (!isToken(header.name())) {
                return Optional.of("a header field has an invalid name");
            }
            if (!isText(header.value())) {
                return Optional.of("the header field " + header.name() + " has an invalid value");
            }
        }
        return Optional.empty();
    }

    private static boolean isToken(String name) {
        for (int index = 0; index < name.length(); index++) {
            char character = name.charAt(index);
            boolean isLetter = character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z';
            boolean isDigit = character >= '0' && character <= '9';
            if (!isLetter && !isDigit && TOKEN_SYMBOLS.indexOf(character) < 0) {
                return false;
            }
        }
        return !name.isEmpty();
    }

    /** Returns whether there are no control characters except tabs. */
    private static boolean isText(String value) {
        for (int index = 0; index < value.length(); index++) {
            char character = value.charAt(index);
            if (character < ' ' && character != '\t' || character == DELETE) {
                return false;
            }
        }
        return true;
    }
}
