package org.plantainshunt.cli;

import java.math.BigInteger;
import java.util.HashMap;
import java.util.Map;

import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Outcall;

/**
 * Counts the calls that one request may cause.
 *
 * <p>Each kind is counted once, because a chain of ten levels can hold more paths than can be walked. Confined to one
 * thread.
 */
final class CallTotals {
    private final Document document;
    private final Map<Kind, BigInteger> totals = new HashMap<>();

    private CallTotals(Document document) {
        this.document = document;
    }

    /** Returns the most calls for one request, the request itself included and retries left out. */
    static BigInteger of(Document document, Kind kind) {
        return new CallTotals(document).total(kind);
    }

    private BigInteger total(Kind kind) {
        BigInteger known = totals.get(kind);
        if (known != null) {
            return known;
        }
        BigInteger total = BigInteger.ONE;
        for (Outcall call : kind.calls()) {
            Kind callee = document.kind(call.service(), call.kind()).orElseThrow();
            total = total.add(BigInteger.valueOf(call.count()).multiply(total(callee)));
        }
        totals.put(kind, total);
        return total;
    }
}
