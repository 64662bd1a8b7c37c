package org.plantainshunt.call;

import java.time.Duration;

import org.plantainshunt.configuration.Policy;

/** The policy of a node that has no configuration yet and accepts no calls. Immutable. */
final class NoPolicy {
    static final Policy POLICY = new Policy(0, 0, Duration.ofSeconds(30), Duration.ofSeconds(300), 0, 0);

    private NoPolicy() {}
}
