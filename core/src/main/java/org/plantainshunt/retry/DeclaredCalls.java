package org.plantainshunt.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;

import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Outcall;

/**
 * The number of calls that are declared in the whole tree below a kind.
 *
 * <p>Made anew for each configuration, since results are kept. Confined to one thread.
 */
public final class DeclaredCalls {
    /** The largest number that is told apart; no allowance comes near it. */
    private static final long MANY = 1_000_000;

    private final BiFunction<String, String, Optional<Kind>> kinds;
    private final Map<Kind, Long> known = new HashMap<>();

    /**
     * Creates the counts for a configuration.
     *
     * @param kinds finds a kind by service and name; the declared calls must not form a cycle
     */
    public DeclaredCalls(BiFunction<String, String, Optional<Kind>> kinds) {
        this.kinds = kinds;
    }

    /** Returns the number of calls that one request of a kind may cause, itself not counted, at most a million. */
    public int below(Kind kind) {
        return (int) count(kind);
    }

    private long count(Kind kind) {
        Long found = known.get(kind);
        if (found != null) {
            return found;
        }
        long calls = 0;
        for (Outcall outcall : kind.calls()) {
            long deeper = kinds.apply(outcall.service(), outcall.kind())
                    .map(this::count)
                    .orElse(0L);
            calls = Math.min(MANY, calls + outcall.count() * (1 + deeper));
        }
        known.put(kind, calls);
        return calls;
    }
}
