package org.plantainshunt.protocol;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The rules for the status and the header fields of an answer that is passed on, wherever it was read. Stateless.
 */
public final class AnswerRules {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern TEXT = Pattern.compile("[^\\x00-\\x08\\x0a-\\x1f\\x7f]*");

    private AnswerRules() {}

    /** Returns why an answer must not be passed on, or empty if it may be. */
    public static Optional<String> violation(int status, List<Header> headers) {
        if (status < FIRST_FINAL_STATUS || status > LAST_STATUS) {
            return Optional.of("the status " + status + " is not that of an answer");
        }
        for (Header header : headers) {
            if (!TOKEN.matcher(header.name()).matches()) {
                return Optional.of("a header field has an invalid name");
            }
            if (!TEXT.matcher(header.value()).matches()) {
                return Optional.of("the header field " + header.name() + " has an invalid value");
            }
        }
        return Optional.empty();
    }
}
