package org.plantainshunt.configuration;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** Guards against documents that stop a node with an unchecked exception or that two nodes read differently. */
class DocumentFuzzTest {
    private static final String SEED = "20261204";

    @Property(seed = SEED, tries = 1000)
    void arbitraryBytesAreRejected(@ForAll byte[] bytes) {
        assertFalse(outcome(bytes).isEmpty());
    }

    @Property(seed = SEED, tries = 1000)
    void arbitraryLinesAreReadDeterministically(@ForAll("lines") List<String> lines) {
        byte[] bytes = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
        assertEquals(outcome(bytes), outcome(bytes.clone()));
    }

    @Property(seed = SEED, tries = 2000)
    void changedDocumentsAreReadDeterministically(@ForAll("changed") byte[] bytes) {
        assertEquals(outcome(bytes), outcome(bytes.clone()));
    }

    @Provide
    Arbitrary<List<String>> lines() {
        Arbitrary<String> words = Arbitraries.of(
                "[document]",
                "[service a]",
                "[kind a b]",
                "[",
                "]",
                "=",
                ":",
                "#",
                ";",
                "\"",
                "'",
                "\\",
                "${env:HOME}",
                "version",
                "calls",
                "slots",
                "x1",
                "1 s",
                "\t",
                "\r",
                "\u0000",
                "\ufeff",
                "\u2028",
                "a.b",
                "(1)",
                " ");
        return words.list()
                .ofMaxSize(6)
                .map(list -> String.join("", list))
                .list()
                .ofMaxSize(12);
    }

    @Provide
    Arbitrary<byte[]> changed() throws IOException {
        String text = Files.readString(Path.of("..", "examples", "bell-mesh.ini"));
        Arbitrary<Integer> at = Arbitraries.integers().between(0, text.length() - 1);
        Arbitrary<Integer> length = Arbitraries.integers().between(0, 40);
        Arbitrary<String> inserted = Arbitraries.oneOf(
                Arbitraries.strings().ofMaxLength(5),
                at.map(from -> text.substring(from, Math.min(text.length(), from + 60))),
                Arbitraries.of("\n", "[", "\\\n", "\"", "= ", "x0", "999999999999999999999", "\n[policy]\n"));
        return Combinators.combine(at, length, inserted)
                .as((from, removed, added) ->
                        text.substring(0, from) + added + text.substring(Math.min(text.length(), from + removed)))
                .map(changed -> changed.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the errors, or what was read of a valid document; any other exception fails the property. */
    private static List<String> outcome(byte[] bytes) {
        List<String> outcome = new ArrayList<>();
        try {
            Document document = Document.parse(bytes);
            outcome.add(document.version() + " " + document.policy() + " " + document.links());
            outcome.add(document.services() + " " + document.kinds() + " " + document.dataCentres());
        } catch (InvalidDocumentException e) {
            e.errors().forEach(error -> outcome.add(error.toString()));
            Optional<DocumentError> malformedMessage = e.errors().stream()
                    .filter(error ->
                            error.message().isBlank() || error.message().contains("\n"))
                    .findFirst();
            assertEquals(Optional.empty(), malformedMessage);
        }
        return outcome;
    }
}
