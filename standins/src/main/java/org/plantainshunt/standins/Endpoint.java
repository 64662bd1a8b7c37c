package org.plantainshunt.standins;

import java.net.InetSocketAddress;

/**
 * An IP address and a TCP port, written as {@code IP:PORT}.
 *
 * <p>Immutable.
 *
 * @param host the IP address
 * @param port the port, 0 to 65535; 0 lets the system choose one
 */
public record Endpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Parses {@code IP:PORT}.
     *
     * @param text the address and the port
     * @return the endpoint
     * @throws IllegalArgumentException if the text has another form
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("address is not of the form IP:PORT: " + text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                throw new IllegalArgumentException("port is not in the range 0 to 65535: " + text);
            }
            return new Endpoint(text.substring(0, colon), port);
        } catch (NumberFormatException failure) {
            throw new IllegalArgumentException("not a port number: " + text, failure);
        }
    }

    /** Returns the socket address; the host is an IP address, so there is no DNS lookup. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(host, port);
    }

    /**
     * Returns the endpoint of the same address with another port.
     *
     * @param other the port, 0 to 65535
     */
    public Endpoint withPort(int other) {
        return new Endpoint(host, other);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
