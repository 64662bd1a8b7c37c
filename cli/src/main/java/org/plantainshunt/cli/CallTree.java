package org.plantainshunt.cli;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.plantainshunt.configuration.AllowedCall;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Kind;

/**
 * Lists the calls that one request may cause, in the order of the document.
 *
 * <p>The calls below a kind are listed only where the kind first appears, so the list is no longer than the number of
 * calls that the document declares. The counts are {@link BigInteger}, because they multiply at each of up to ten
 * levels. Confined to one thread.
 */
final class CallTree {
    private final Document document;
    private final List<Call> calls = new ArrayList<>();
    private final Set<Kind> expanded = new HashSet<>();

    /**
     * A call in the tree.
     *
     * @param level the depth in the tree, 0 for the request itself
     * @param service the called service
     * @param kind the called kind of request
     * @param count the maximum number of such calls for one request of the parent's kind
     * @param mostCalls the maximum number of such calls for one request that enters the system, without retries
     * @param mostAttempts the same, including all retries that the request is allowed
     * @param listedAbove whether the calls below this one are listed at an earlier call of the same kind
     */
    record Call(
            int level,
            String service,
            String kind,
            int count,
            BigInteger mostCalls,
            BigInteger mostAttempts,
            boolean listedAbove) {}

    private CallTree(Document document) {
        this.document = document;
    }

    /** Returns the request itself and all calls below it. */
    static List<Call> of(Document document, Kind kind) {
        CallTree tree = new CallTree(document);
        tree.add(kind, 0, 1, BigInteger.ONE);
        return tree.calls;
    }

    private void add(Kind kind, int level, int count, BigInteger mostCalls) {
        boolean first = expanded.add(kind);
        boolean listedAbove = !first && !kind.calls().isEmpty();
        BigInteger retries = BigInteger.valueOf(document.policy().retriesPerRequest());
        calls.add(new Call(level, kind.service(), kind.name(), count, mostCalls, mostCalls.add(retries), listedAbove));
        if (!first) {
            return;
        }
        for (AllowedCall call : kind.calls()) {
            Kind callee = document.kind(call.service(), call.kind()).orElseThrow();
            add(callee, level + 1, call.count(), mostCalls.multiply(BigInteger.valueOf(call.count())));
        }
    }
}
