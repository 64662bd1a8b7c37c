package org.plantainshunt.configuration;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * An entry of the VM list: a VM with a backend server and the node beside it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name the VM's name, which is also the name of its node
 * @param service the service of its backend server
 * @param dataCentre the name of its data centre
 * @param address the IP address
 * @param innerPort the port of the node's inner protocol
 * @param leaving whether the list marks the VM as leaving
 * @param slots the slots of its backend server, if the list states them; otherwise those of the service apply
 * @param instance the id of the running backend server, if the list has one
 */
public record Vm(
        String name,
        String service,
        String dataCentre,
        String address,
        int innerPort,
        boolean leaving,
        OptionalInt slots,
        Optional<String> instance) {
    /** Creates an entry without slots and instance. */
    public Vm(String name, String service, String dataCentre, String address, int innerPort, boolean leaving) {
        this(name, service, dataCentre, address, innerPort, leaving, OptionalInt.empty(), Optional.empty());
    }
}
