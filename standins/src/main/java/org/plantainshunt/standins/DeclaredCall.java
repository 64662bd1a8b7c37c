package org.plantainshunt.standins;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An outbound call that a backend server stand-in makes for each request of a kind, written
 * {@code KIND=SERVICE/KIND*COUNT}; the count is 1 by default.
 *
 * <p>Immutable.
 *
 * @param kind the kind of request for which the call is made
 * @param service the service called
 * @param callKind the kind of request sent to that service
 * @param count number of calls for each request
 */
record DeclaredCall(String kind, String service, String callKind, int count) {
    private static final Pattern FORM = Pattern.compile("([^=/*]+)=([^=/*]+)/([^=/*]+)(?:\\*(\\d{1,3}))?");

    static DeclaredCall parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("call is not of the form KIND=SERVICE/KIND*COUNT: " + text);
        }
        int count = matcher.group(4) == null ? 1 : Integer.parseInt(matcher.group(4));
        return new DeclaredCall(matcher.group(1), matcher.group(2), matcher.group(3), count);
    }
}
