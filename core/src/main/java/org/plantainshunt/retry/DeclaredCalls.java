package org.plantainshunt.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;

import org.plantainshunt.configuration.AllowedCall;
import org.plantainshunt.configuration.Kind;

/**
 * Counts the calls that are declared in the whole tree below a kind.
 *
 * <p>Results are cached, so each configuration needs a new instance. Confined to one thread.
 */
public final class DeclaredCalls {
    /** The upper bound on counts, which prevents overflow; no allowance comes near it. */
    private static final long MAX_COUNT = 1_000_000;

    private final BiFunction<String, String, Optional<Kind>> kinds;
    private final Map<Kind, Long> cachedCounts = new HashMap<>();

    /**
     * Creates the counts for a configuration.
     *
     * @param kinds looks up a kind by service and name; the declared calls must not form a cycle
     */
    public DeclaredCalls(BiFunction<String, String, Optional<Kind>> kinds) {
        this.kinds = kinds;
    }

    /** Returns the number of calls that one request of a kind may cause, excluding itself, at most a million. */
    public int countBelow(Kind kind) {
        return (int) count(kind);
    }

    private long count(Kind kind) {
        Long found = cachedCounts.get(kind);
        if (found != null) {
            return found;
        }
        long calls = 0;
        for (AllowedCall allowedCall : kind.calls()) {
            long deeper = kinds.apply(allowedCall.service(), allowedCall.kind())
                    .map(this::count)
                    .orElse(0L);
            calls = Math.min(MAX_COUNT, calls + allowedCall.count() * (1 + deeper));
        }
        cachedCounts.put(kind, calls);
        return calls;
    }
}
