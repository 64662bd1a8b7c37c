package org.plantainshunt.configuration;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against errors that are not reported or are reported for the wrong line, singly and several at once. */
class DocumentErrorsTest {
    private static final String VALID = String.join(
            "\n",
            "[document]",
            "version = 7 # a comment",
            "name = small",
            "[region east]",
            "[region west]",
            "[data-centre east-1]",
            "region = east",
            "[link east west]",
            "bandwidth = 30 Mbit/s",
            "latency = 20 ms",
            "[service front]",
            "slots = 10",
            "connections = 20",
            "[service back]",
            "slots = 10",
            "connections = 20",
            "[kind front read]",
            "class = standard",
            "runs = repeatable",
            "deadline = 1 s",
            "calls = back find x2",
            "[kind back find]",
            "class = standard",
            "runs = repeatable",
            "deadline = 500 ms",
            "");

    @Test
    void absentKeysHaveTheDocumentedDefaults() throws InvalidDocumentException {
        Document document = Document.parse(bytes(VALID));
        assertEquals(Defaults.POLICY, document.policy());
        Service expected = new Service("front", 10, 20, 20, Defaults.TARGET_QUEUE_DELAY, 0.2, 10);
        assertEquals(expected, document.service("front").orElseThrow());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "version = 7 # a comment | version = 7.5 | 2 | INVALID_NUMBER",
                "version = 7 # a comment | version = 0 | 2 | OUT_OF_RANGE",
                "version = 7 # a comment | version = ${sys:os.version} | 2 | INVALID_NUMBER",
                "version = 7 # a comment | version = '7' | 2 | MALFORMED_LINE",
                "version = 7 # a comment | version = 7 \\ | 2 | MALFORMED_LINE",
                "version = 7 # a comment | # none | 1 | MISSING_KEY",
                "version = 7 # a comment | version 7 | 2 | MALFORMED_LINE",
                "name = small | name = Small | 3 | INVALID_NAME",
                "name = small | name = | 3 | INVALID_NAME",
                "[region west] | [region east] | 5 | DUPLICATE_SECTION",
                "[region west] | [region WEST] | 5 | INVALID_NAME",
                "[region west] | [region west | 5 | MALFORMED_LINE",
                "[region west] | [region  west] | 5 | UNKNOWN_SECTION",
                "[region west] | [area west] | 5 | UNKNOWN_SECTION",
                "region = east | region = north | 7 | UNKNOWN_REGION",
                "[link east west] | [link east east] | 8 | LINK_WITHIN_REGION",
                "bandwidth = 30 Mbit/s | bandwidth = 30 | 9 | INVALID_UNIT",
                "bandwidth = 30 Mbit/s | bandwidth = 30 MiB | 9 | INVALID_UNIT",
                "bandwidth = 30 Mbit/s | bandwidth = fast | 9 | INVALID_NUMBER",
                "bandwidth = 30 Mbit/s | bandwidth = 0 Mbit/s | 9 | OUT_OF_RANGE",
                "bandwidth = 30 Mbit/s | bandwidth = 999999999999999999 Mbit/s | 9 | OUT_OF_RANGE",
                "latency = 20 ms | latency = 0.0000001 ms | 10 | OUT_OF_RANGE",
                "slots = 10 | slotz = 10 | 12 | UNKNOWN_KEY",
                "connections = 20 | slots = 11 | 13 | DUPLICATE_KEY",
                "[service back] | [service rear] | 22 | UNKNOWN_SERVICE",
                "class = standard | class = urgent | 18 | INVALID_CHOICE",
                "runs = repeatable | runs = once | 19 | INVALID_CHOICE",
                "deadline = 1 s | deadline = 31 s | 20 | DEADLINE_TOO_LONG",
                "deadline = 1 s | deadline = 0 s | 20 | OUT_OF_RANGE",
                "x2 | x0 | 21 | OUT_OF_RANGE",
                "x2 | twice | 21 | MALFORMED_CALL",
                "x2 | 'x2,' | 21 | MALFORMED_CALL",
                "x2 | 'x2, back find x1' | 21 | DUPLICATE_CALL",
                "back find x2 | back seek x2 | 21 | UNKNOWN_KIND",
                "back find x2 | front read x1 | 21 | CALL_CYCLE",
            })
    void eachErrorIsReportedWithItsLineAndCode(String text, String replacement, int line, DocumentErrorCode code) {
        List<DocumentError> errors = errors(replaceFirst(text, replacement));
        assertTrue(errors.stream().anyMatch(error -> error.code() == code && error.line() == line), errors.toString());
    }

    @Test
    void documentsAreCheckedAsAWholeFirst() {
        assertEquals(
                DocumentErrorCode.EMPTY_DOCUMENT, errors("\n# nothing\n").get(0).code());
        assertEquals(
                DocumentErrorCode.KEY_OUTSIDE_SECTION,
                errors("version = 1").get(0).code());
        assertEquals(
                DocumentErrorCode.MISSING_SECTION,
                errors("[document]\nversion = 1\nname = a").get(0).code());
        assertEquals(
                DocumentErrorCode.DOCUMENT_TOO_LARGE,
                errors(VALID + "#".repeat(1_000_000)).get(0).code());
        byte[] latin = "[document]\nname = \u00fc".getBytes(StandardCharsets.ISO_8859_1);
        InvalidDocumentException e = assertThrows(InvalidDocumentException.class, () -> Document.parse(latin));
        assertEquals(DocumentErrorCode.NOT_UTF8, e.errors().get(0).code());
    }

    @Test
    void allErrorsAreReportedAtOnceInTheOrderOfLines() {
        String text = VALID.replace("version = 7", "version = seven")
                .replace("region = east", "region = north")
                .replace("slots", "slotz")
                .replace("x2", "x2000");
        List<Integer> lines = errors(text).stream().map(DocumentError::line).toList();
        assertEquals(List.of(2, 7, 11, 12, 14, 15, 21), lines);
    }

    @Test
    void byteOrderMarksAreNamedInTheMessage() {
        List<DocumentError> errors = errors("\ufeff" + VALID);
        assertEquals(1, errors.size());
        assertTrue(errors.get(0).message().contains("byte order mark"));
    }

    @Test
    void malformedValuesAreNotReportedAsMissingToo() {
        assertEquals(1, errors(VALID.replace("version = 7", "version = '7'")).size());
    }

    @Test
    void reversedLinksAreTheSameLink() {
        String text = VALID + "[link west east]\nbandwidth = 1 Mbit/s\nlatency = 1 ms\n";
        assertEquals(DocumentErrorCode.DUPLICATE_SECTION, errors(text).get(0).code());
    }

    @Test
    void chainsOfElevenLevelsAreTooDeepAndTenAreNot() throws InvalidDocumentException {
        Document.parse(bytes(VALID + chain(10, "")));
        DocumentError error = errors(VALID + chain(11, "")).get(0);
        assertEquals(DocumentErrorCode.CHAIN_TOO_DEEP, error.code());
        assertTrue(error.message().contains("11 levels"), error.message());
    }

    @Test
    void longChainsAndCyclesDoNotExhaustTheStack() {
        assertEquals(
                DocumentErrorCode.CHAIN_TOO_DEEP,
                errors(VALID + chain(9_000, "")).get(0).code());
        List<DocumentError> cycle = errors(VALID + chain(9_000, "calls = front level-1 x1\n"));
        assertEquals(1, cycle.size());
        assertEquals(DocumentErrorCode.CALL_CYCLE, cycle.get(0).code());
    }

    @Test
    void numberOfReportedErrorsIsLimited() {
        List<DocumentError> errors = errors("x\n".repeat(400_000));
        assertEquals(ErrorList.MAX_ERRORS, errors.size());
        assertEquals(
                DocumentErrorCode.TOO_MANY_ERRORS, errors.get(errors.size() - 1).code());
    }

    private static String chain(int levels, String lastCalls) {
        StringBuilder text = new StringBuilder();
        for (int level = 1; level <= levels; level++) {
            String calls = level == levels ? lastCalls : "calls = front level-" + (level + 1) + " x1\n";
            text.append("[kind front level-").append(level).append("]\nclass = standard\n");
            text.append("runs = repeatable\ndeadline = 1 s\n").append(calls);
        }
        return text.toString();
    }

    private static String replaceFirst(String text, String replacement) {
        int start = VALID.indexOf(text);
        assertTrue(start >= 0, text);
        String written = replacement == null ? "" : replacement;
        return VALID.substring(0, start) + written + VALID.substring(start + text.length());
    }

    private static List<DocumentError> errors(String text) {
        return assertThrows(InvalidDocumentException.class, () -> Document.parse(bytes(text)))
                .errors();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
