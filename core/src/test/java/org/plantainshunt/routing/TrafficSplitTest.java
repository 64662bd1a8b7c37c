package org.plantainshunt.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.Route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TrafficSplitTest {
    private final TrafficSplit split = new TrafficSplit();

    /** Guards against shares that hold only in the long run: each window of 20 requests must have them. */
    @Test
    void sharesHoldInShortWindows() {
        Route route = route(7, 2, 1);
        for (int window = 0; window < 50; window++) {
            Map<String, Integer> counts = new HashMap<>();
            for (int request = 0; request < 20; request++) {
                counts.merge(split.next(route), 1, Integer::sum);
            }
            assertEquals(Map.of("s0", 14, "s1", 4, "s2", 2), counts);
        }
    }

    @Test
    void partOfWeightZeroGetsNothing() {
        Route route = route(1, 0);
        for (int request = 0; request < 100; request++) {
            assertEquals("s0", split.next(route));
        }
    }

    /** Guards against old credits that distort the shares after the weights have changed. */
    @Test
    void newWeightsHoldAtOnce() {
        for (int request = 0; request < 7; request++) {
            split.next(route(9, 1));
        }
        int first = 0;
        for (int request = 0; request < 10; request++) {
            first += split.next(route(1, 9)).equals("s0") ? 1 : 0;
        }
        assertTrue(first <= 1, "the first part got " + first + " of 10");
    }

    private static Route route(int... weights) {
        List<Route.Part> parts = new ArrayList<>();
        for (int index = 0; index < weights.length; index++) {
            parts.add(new Route.Part("s" + index, weights[index]));
        }
        return new Route("r", "host.example", "/", parts);
    }
}
