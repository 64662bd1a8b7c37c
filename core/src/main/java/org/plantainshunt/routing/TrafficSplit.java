package org.plantainshunt.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.plantainshunt.configuration.Route;

/**
 * Divides the requests of each route among its services by their weights.
 *
 * <p>Each request goes to the part that is furthest behind its share (smooth weighted round robin), so that the shares
 * hold in short windows at each node. A part without capacity refuses its requests; they are not moved to another part.
 * Confined to one thread.
 */
public final class TrafficSplit {
    private final Map<String, Credits> byRoute = new HashMap<>();

    /** Returns the service for the next request of a route. */
    public String next(Route route) {
        List<Route.Part> parts = route.parts();
        if (parts.size() == 1) {
            return parts.get(0).service();
        }
        Credits credits = byRoute.get(route.name());
        if (credits == null || !credits.parts.equals(parts)) {
            credits = new Credits(parts);
            byRoute.put(route.name(), credits);
        }
        return credits.next();
    }

    /** How far each part of a route is behind its share. */
    private static final class Credits {
        private final List<Route.Part> parts;
        private final long[] credit;
        private final long total;

        Credits(List<Route.Part> parts) {
            this.parts = parts;
            this.credit = new long[parts.size()];
            this.total = parts.stream().mapToLong(Route.Part::weight).sum();
        }

        String next() {
            int chosen = 0;
            for (int index = 0; index < credit.length; index++) {
                credit[index] += parts.get(index).weight();
                chosen = credit[index] > credit[chosen] ? index : chosen;
            }
            credit[chosen] -= total;
            return parts.get(chosen).service();
        }
    }
}
