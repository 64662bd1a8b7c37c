package org.plantainshunt.protocol;

import java.util.Objects;

/**
 * What a node says of itself when a connection starts. Authenticated by the shared secret. Immutable.
 *
 * @param vm name of the VM
 * @param incarnation random number of the process
 * @param draining whether the node is leaving
 * @param documentNumber version of the configuration in force there; 0 if there is none
 */
public record Greeting(String vm, long incarnation, boolean draining, long documentNumber) {
    /** Checks that no part is missing. */
    public Greeting {
        Objects.requireNonNull(vm, "vm");
    }
}
