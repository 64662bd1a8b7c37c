package org.plantainshunt.protocol;

import java.util.Objects;

/**
 * The identity and state that a node sends in the handshake. Authenticated by the shared secret. Immutable.
 *
 * @param vm name of the VM
 * @param incarnation random number that identifies the process
 * @param draining whether the node is draining
 * @param documentNumber version of the configuration active on the node; 0 if there is none
 */
public record HandshakeInfo(String vm, long incarnation, boolean draining, long documentNumber) {
    /** Rejects a null VM name. */
    public HandshakeInfo {
        Objects.requireNonNull(vm, "vm");
    }
}
