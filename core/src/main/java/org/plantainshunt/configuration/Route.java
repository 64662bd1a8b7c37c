package org.plantainshunt.configuration;

import java.util.List;

/**
 * Sends the requests of a host below a path prefix to one service, or to several by weight.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name the route's name, which is also the name of its kind at each of its services
 * @param host the host, in lower case
 * @param prefix the path prefix, which begins and ends with a slash
 * @param parts the services with their weights, at least one
 */
public record Route(String name, String host, String prefix, List<Part> parts) {
    /** Copies the list of parts. */
    public Route {
        parts = List.copyOf(parts);
        if (parts.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /**
     * One service of a route.
     *
     * @param service the service
     * @param weight its share of the requests, in proportion to the weights of the other parts
     */
    public record Part(String service, int weight) {}
}
