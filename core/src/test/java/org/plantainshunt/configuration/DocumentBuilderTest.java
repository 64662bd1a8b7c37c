package org.plantainshunt.configuration;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class DocumentBuilderTest {
    private static final byte[] BYTES = "source".getBytes(StandardCharsets.UTF_8);

    @Test
    void documentHasItsParts() throws Exception {
        Document document = builder()
                .kind(kind("bells"))
                .route(new Route("r", "h.example", "/", List.of(new Route.Part("bells", 1))))
                .build(BYTES);
        assertEquals(new DocumentVersion(7, Document.digest(BYTES)), document.version());
        assertEquals(kind("bells"), document.kind("bells", "ring").orElseThrow());
        assertEquals(
                "r", document.routes().find("h.example", "/a").orElseThrow().name());
    }

    /** Guards against a route to a service that has no limits, because the document does not define it. */
    @Test
    void unknownServiceOfARouteIsAnError() {
        DocumentBuilder builder =
                builder().route(new Route("r", "h.example", "/", List.of(new Route.Part("tones", 1))));
        assertThrows(InvalidDocumentException.class, () -> builder.build(BYTES));
    }

    @Test
    void unknownServiceOfAKindIsAnError() {
        assertThrows(
                InvalidDocumentException.class,
                () -> builder().kind(kind("tones")).build(BYTES));
    }

    private static DocumentBuilder builder() {
        return new DocumentBuilder(7, "test")
                .dataCentre("erie-1", "lake-erie")
                .service(new Service("bells", 4, 8, 8, Duration.ofMillis(20), 1, 10));
    }

    private static Kind kind(String service) {
        return new Kind(service, "ring", PriorityClass.CRITICAL, true, Duration.ofSeconds(1), List.of());
    }
}
