package org.plantainshunt.configuration;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RouteTableTest {
    private final RouteTable table = new RouteTable(List.of(
            route("all", "bells.example", "/"),
            route("lists", "bells.example", "/lists/"),
            route("old-lists", "bells.example", "/lists/old/"),
            route("tones", "tones.example", "/tones/")));

    /** Guards against a shorter prefix that hides the route of a longer one. */
    @Test
    void longestPrefixWins() {
        assertEquals(Optional.of("old-lists"), found("bells.example", "/lists/old/7"));
        assertEquals(Optional.of("lists"), found("bells.example", "/lists/new"));
        assertEquals(Optional.of("all"), found("bells.example", "/list"));
    }

    /** Guards against a path segment that only begins like a prefix. */
    @Test
    void prefixEndsAtASlash() {
        assertEquals(Optional.empty(), found("tones.example", "/tones"));
        assertEquals(Optional.of("tones"), found("tones.example", "/tones/"));
    }

    /** Guards against slashes in the query that affect the choice of the route. */
    @Test
    void queryDoesNotCount() {
        assertEquals(Optional.of("all"), found("bells.example", "/x?next=/lists/old/"));
    }

    @Test
    void hostIsComparedWithoutCaseAndPort() {
        assertEquals(Optional.of("tones"), found("TONES.example:8080", "/tones/a"));
        assertEquals(Optional.empty(), found("other.example", "/tones/a"));
    }

    private Optional<String> found(String host, String target) {
        return table.find(host, target).map(Route::name);
    }

    private static Route route(String name, String host, String prefix) {
        return new Route(name, host, prefix, List.of(new Route.Part("s", 1)));
    }
}
