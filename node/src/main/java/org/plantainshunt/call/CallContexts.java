package org.plantainshunt.call;

import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.plantainshunt.admission.Priority;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.retry.AllowanceLedger;

/**
 * The requests that run at the backend server, indexed by the token that its own calls carry.
 *
 * <p>A token is known only to this node and its backend server, and is valid until the request ends. Confined to the
 * decision thread.
 */
final class CallContexts {
    private static final int TOKEN_BYTES = 16;

    private final RandomGenerator random;
    private final Map<String, Context> byToken = new HashMap<>();
    private final Map<String, Context> byRequest = new HashMap<>();

    CallContexts(RandomGenerator random) {
        this.random = random;
    }

    /** Adds a request and returns its token. */
    String open(Context context) {
        byte[] bytes = new byte[TOKEN_BYTES];
        random.nextBytes(bytes);
        String token = HexFormat.of().formatHex(bytes);
        byToken.put(token, context);
        byRequest.put(context.requestId(), context);
        return token;
    }

    Optional<Context> find(String token) {
        return Optional.ofNullable(byToken.get(token));
    }

    /** Finds a running request by its id, for callers that have no token. */
    Optional<Context> findRequest(String requestId) {
        return Optional.ofNullable(byRequest.get(requestId));
    }

    void close(String token) {
        Context closed = byToken.remove(token);
        if (closed != null) {
            byRequest.remove(closed.requestId(), closed);
        }
    }

    /**
     * A request that runs at the backend server. Calls made for it inherit its id, priority, deadline and allowance.
     *
     * @param requestId the id of the originating request
     * @param kind the kind of the request
     * @param priority the priority of the originating request
     * @param deadline the deadline, in nanoseconds of the node's monotonic clock
     * @param ledger the remaining retry allowance
     * @param progress whether a call made for the request was answered
     */
    record Context(
            String requestId,
            Kind kind,
            Priority priority,
            long deadline,
            AllowanceLedger ledger,
            RequestProgress progress) {}
}
