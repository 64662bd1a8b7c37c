package org.plantainshunt.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request by its host and path.
 *
 * <p>Of the routes of a host, the one with the longest matching path prefix is chosen. Immutable and safe for use
 * by any thread.
 *
 * <pre>{@code
 * table.find("bells.example", "/playlists/7/items?page=2");
 * }</pre>
 */
public final class RouteTable {
    /** A table without routes. */
    public static final RouteTable EMPTY = new RouteTable(List.of());

    private final Map<String, Map<String, Route>> byHost = new HashMap<>();

    /** Creates the table of these routes; of several with the same host and prefix, the last one wins. */
    public RouteTable(Collection<Route> routes) {
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
        }
    }

    /**
     * Returns the route of a request.
     *
     * @param host the host as the request states it, with or without a port
     * @param target the path, with or without a query
     */
    public Optional<Route> find(String host, String target) {
        Map<String, Route> byPrefix = byHost.get(hostName(host));
        if (byPrefix == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String hostName(String host) {
        int port = host.indexOf(':');
        return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
    }
}
