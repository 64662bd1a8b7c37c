package org.plantainshunt.configuration;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Pattern;

import com.google.common.net.InetAddresses;

/**
 * An entry of the VM list: a VM with a backend server and the node beside it.
 *
 * <p>Every instance can be written to a VM list and read again: the constructor rejects values that
 * {@link VmList#parse} would reject. Immutable and safe for use by any thread.
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
    /** The largest number of slots of a VM. */
    public static final int MAX_SLOTS = 1_000_000;

    static final int MAX_PORT = 65_535;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");
    private static final Pattern IP4 = Pattern.compile("((25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)(\\.|$)){4}(?<!\\.)");
    private static final Pattern IP6 = Pattern.compile("[0-9a-fA-F]{0,4}(:[0-9a-fA-F]{0,4}){2,7}");

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is invalid in a VM list
     */
    public Vm {
        requireName("name", name);
        requireName("service", service);
        requireName("data centre", dataCentre);
        require(isIpAddress(address), "address", address, "an IP address");
        require(innerPort >= 1 && innerPort <= MAX_PORT, "inner port", innerPort, "a port");
        slots.ifPresent(count ->
                require(count >= 1 && count <= MAX_SLOTS, "number of slots", count, "a number from 1 to " + MAX_SLOTS));
        instance.ifPresent(id -> requireName("instance", id));
    }

    /** Creates an entry without slots and instance. */
    public Vm(String name, String service, String dataCentre, String address, int innerPort, boolean leaving) {
        this(name, service, dataCentre, address, innerPort, leaving, OptionalInt.empty(), Optional.empty());
    }

    /** Returns whether a text is a valid name of a VM, a service, a data centre or an instance. */
    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Returns whether a text is an IPv4 address in dotted decimal notation. */
    public static boolean isIp4Address(String text) {
        return IP4.matcher(text).matches();
    }

    /** Returns whether a text is an IPv4 address in dotted decimal notation or an IPv6 address. */
    public static boolean isIpAddress(String text) {
        return isIp4Address(text) || IP6.matcher(text).matches() && InetAddresses.isInetAddress(text);
    }

    private static void requireName(String field, String text) {
        require(isName(text), field, text, "a name of letters, digits, '.', '-' and '_'");
    }

    private static void require(boolean valid, String field, Object value, String expected) {
        if (!valid) {
            throw new IllegalArgumentException(field + " \"" + value + "\" is not " + expected);
        }
    }
}
