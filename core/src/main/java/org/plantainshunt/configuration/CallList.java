package org.plantainshunt.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.plantainshunt.configuration.DocumentContent.KindName;

/** Reads the key {@code calls}: entries of the form {@code SERVICE KIND xN} separated by commas. */
final class CallList {
    private static final String KEY = "calls";
    private static final Pattern CALL = Pattern.compile("(\\S+)\\s+(\\S+)\\s+x([0-9]{1,9})");

    private CallList() {}

    static List<AllowedCall> read(ValueReader values) {
        List<AllowedCall> calls = new ArrayList<>();
        String list = values.text(KEY);
        if (list.isEmpty()) {
            return calls;
        }
        Set<KindName> seen = new HashSet<>();
        for (String entry : list.split(",", -1)) {
            Matcher matcher = CALL.matcher(entry.trim());
            if (!matcher.matches()) {
                values.report(
                        KEY,
                        DocumentErrorCode.MALFORMED_CALL,
                        ErrorList.quote(entry.trim()) + " is not a call; write SERVICE KIND xN, separated by commas,"
                                + " for example recorder lookup-bell x2");
                continue;
            }
            AllowedCall call = new AllowedCall(matcher.group(1), matcher.group(2), Integer.parseInt(matcher.group(3)));
            check(values, call, seen);
            calls.add(call);
        }
        return calls;
    }

    private static void check(ValueReader values, AllowedCall call, Set<KindName> seen) {
        String written = ErrorList.quote(call.service() + " " + call.kind());
        if (!seen.add(new KindName(call.service(), call.kind()))) {
            values.report(
                    KEY,
                    DocumentErrorCode.DUPLICATE_CALL,
                    written + " is listed twice; list it once with the sum of the counts");
        }
        if (call.count() < 1 || call.count() > Integer.parseInt(Ranges.CALL_COUNT.max())) {
            values.report(
                    KEY,
                    DocumentErrorCode.OUT_OF_RANGE,
                    "the count x" + call.count() + " of " + written + " is out of range; write x"
                            + Ranges.CALL_COUNT.min() + " to x" + Ranges.CALL_COUNT.max());
        }
    }
}
