package org.plantainshunt.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against shipped examples that are invalid or incomplete after a change of the format. */
class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @ValueSource(strings = {"bell-mesh.ini", "polishing-line.ini"})
    void examplesAreValidAndShowEachKey(String file) throws IOException, InvalidDocumentException {
        byte[] bytes = Files.readAllBytes(EXAMPLES.resolve(file));
        Document.parse(bytes);
        List<String> absent = new ArrayList<>();
        List<Section> sections = SectionReader.read(bytes, new ErrorList());
        for (SectionType type : SectionType.values()) {
            for (String key : type.keys()) {
                boolean shown = sections.stream()
                        .anyMatch(section ->
                                section.type() == type && section.entry(key).isPresent());
                if (!shown) {
                    absent.add(type.form() + " " + key);
                }
            }
        }
        assertEquals(List.of(), absent);
    }

    @Test
    void valuesOfBellMeshAreReadWithTheirUnits() throws IOException, InvalidDocumentException {
        Document document = read("bell-mesh.ini");
        assertEquals(
                new Service("archive", 30, 300, 60, Duration.ofMillis(20), 0.2, 10),
                document.service("archive").orElseThrow());
        assertEquals(
                new Kind(
                        "scheduler",
                        "push-schedule",
                        PriorityClass.CRITICAL,
                        true,
                        Duration.ofSeconds(2),
                        List.of(new AllowedCall("recorder", "lookup-bell", 2), new AllowedCall("archive", "store", 1))),
                document.kind("scheduler", "push-schedule").orElseThrow());
        assertEquals(
                new Link("lake-erie", "lake-huron", 30_000_000, Duration.ofMillis(20)),
                document.link("lake-huron", "lake-erie").orElseThrow());
        assertEquals(
                new Policy(3, 0.1, Duration.ofSeconds(30), Duration.ofSeconds(300), 1_048_576, 1_048_576),
                document.policy());
        assertEquals(
                new DataCentre("huron-2", "lake-huron"),
                document.dataCentre("huron-2").orElseThrow());
    }

    @ParameterizedTest
    @ValueSource(strings = {"bell-mesh.ini archive", "polishing-line.ini benchbook"})
    void chainsOfEachServiceReachTheDeepestService(String example) throws IOException, InvalidDocumentException {
        Document document = read(example.split(" ")[0]);
        String deepest = example.split(" ")[1];
        for (Service service : document.services()) {
            boolean reached = document.kinds().stream()
                    .filter(kind -> kind.service().equals(service.name()))
                    .anyMatch(kind -> reaches(document, kind, deepest));
            assertTrue(reached, service.name());
        }
    }

    private static boolean reaches(Document document, Kind kind, String service) {
        return kind.service().equals(service)
                || kind.calls().stream()
                        .map(call -> document.kind(call.service(), call.kind()).orElseThrow())
                        .anyMatch(callee -> reaches(document, callee, service));
    }

    private static Document read(String file) throws IOException, InvalidDocumentException {
        return Document.parse(Files.readAllBytes(EXAMPLES.resolve(file)));
    }
}
