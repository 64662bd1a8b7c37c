package org.plantainshunt.configuration;

/**
 * An entry of the VM list: a VM with a backend server and the node beside it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name the VM's name, which is also the name of its node
 * @param service the service of its backend server
 * @param dataCentre the data centre that it stands in
 * @param address the IP address
 * @param innerPort the port of the node's inner protocol
 * @param leaving whether the list says that the VM is leaving
 */
public record Vm(String name, String service, String dataCentre, String address, int innerPort, boolean leaving) {}
