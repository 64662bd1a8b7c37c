package org.plantainshunt.cli;

import java.math.BigInteger;
import java.util.HashMap;
import java.util.Map;

import org.plantainshunt.configuration.AllowedCall;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Kind;

/**
 * Computes the maximum number of calls that one request may cause.
 *
 * <p>Totals are memoized by kind, because a call graph of ten levels can have too many paths to traverse each. Confined
 * to one thread.
 */
final class CallTotals {
    private final Document document;
    private final Map<Kind, BigInteger> totals = new HashMap<>();

    private CallTotals(Document document) {
        this.document = document;
    }

    /** Returns the maximum number of calls for one request, including the request itself and without retries. */
    static BigInteger of(Document document, Kind kind) {
        return new CallTotals(document).total(kind);
    }

    private BigInteger total(Kind kind) {
        BigInteger known = totals.get(kind);
        if (known != null) {
            return known;
        }
        BigInteger total = BigInteger.ONE;
        for (AllowedCall call : kind.calls()) {
            Kind callee = document.kind(call.service(), call.kind()).orElseThrow();
            total = total.add(BigInteger.valueOf(call.count()).multiply(total(callee)));
        }
        totals.put(kind, total);
        return total;
    }
}
