package org.plantainshunt.cli;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.zip.GZIPInputStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.JunitReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.plantainshunt.replay.Outcomes;
import org.plantainshunt.replay.Replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards the outcomes stated for each trace, what the tool prints of them, and its treatment of faulty files. */
@UseReporter(JunitReporter.class) // The default one would start a comparison program.
class StatedOutcomesTest {
    @TempDir
    Path directory;

    @ParameterizedTest
    @EnumSource
    void statementsHold(TraceGenerator.Trial trial) throws IOException, CommandException {
        Outcomes outcomes = Replay.run(TraceReader.read(trial.file().toString()), OptionalInt.empty());
        List<String> failures = failures(trial, outcomes);
        assertTrue(failures.isEmpty(), String.join("\n", failures));
    }

    /** Statements that a plain queue fulfils as well would say nothing about the admission queue. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "BELL_MORNING")
    void statementsFailForThePlainQueueOfTheRecord(TraceGenerator.Trial trial) throws IOException, CommandException {
        Outcomes recorded = Outcomes.recorded(TraceReader.read(trial.file().toString()));
        assertFalse(failures(trial, recorded).isEmpty());
    }

    private static List<String> failures(TraceGenerator.Trial trial, Outcomes outcomes) throws IOException {
        List<String> failures = new ArrayList<>();
        int checked = 0;
        Path statements = trial.file().resolveSibling(trial.fileName() + ".statements");
        for (String line : Files.readAllLines(statements)) {
            if (!line.startsWith("#")) {
                Statement.check(line, outcomes).ifPresent(failure -> failures.add(line + ": " + failure));
                checked++;
            }
        }
        assertTrue(checked > 0, "no statements in " + statements);
        return failures;
    }

    /** Without this a changed generator or a changed file would go unnoticed. */
    @ParameterizedTest
    @EnumSource
    void filesAreWhatTheGeneratorWrites(TraceGenerator.Trial trial) throws Exception {
        try (InputStream file = new GZIPInputStream(new ByteArrayInputStream(Files.readAllBytes(trial.file())))) {
            assertEquals(TraceGenerator.text(trial), new String(file.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    @ParameterizedTest
    @EnumSource
    void tablesShowOutcomesAndDifferences(TraceGenerator.Trial trial) {
        Run run = Run.of("replay", trial.file().toString());
        assertEquals(ExitCode.FINE, run.exitCode(), run.err());
        Approvals.verify(run.out(), Approvals.NAMES.withParameters(trial.fileName()));
    }

    @Test
    void jsonHoldsWhatTheTableShows() throws IOException {
        String file = TraceGenerator.Trial.LINE_SALE.file().toString();
        Run run = Run.of("replay", file, "--slots", "24", "--output", "json");
        JsonNode json = new ObjectMapper().readTree(run.out());
        assertEquals(24, json.path("slots").asInt());
        assertEquals(12, json.path("recordedSlots").asInt());
        JsonNode row = json.path("rows").path(0);
        assertEquals("critical", row.path("priorityClass").asText());
        assertEquals(
                row.path("recorded").path("offered").asInt(),
                row.path("replayed").path("offered").asInt());
    }

    @Test
    void faultyFilesAndArgumentsHaveTheirExitCodes() throws Exception {
        String file = TraceGenerator.Trial.LINE_SALE.file().toString();
        assertEquals(ExitCode.USAGE, Run.of("replay", file, "--slots", "0").exitCode());
        assertEquals(
                ExitCode.UNREADABLE,
                Run.of("replay", directory.resolve("none").toString()).exitCode());
        assertEquals(ExitCode.WRONG, replay("").exitCode());
        assertEquals(
                ExitCode.WRONG, replay("{\"event\":\"header\",\"version\":2}\n").exitCode());
        String first = TraceGenerator.text(TraceGenerator.Trial.LINE_SALE)
                .lines()
                .findFirst()
                .orElseThrow();
        assertEquals(ExitCode.WRONG, replay(first + "\nhalf\n" + first).exitCode());
        Run cut = replay(first + "\n{\"event\":\"arriv");
        assertEquals(ExitCode.FINE, cut.exitCode());
        assertFalse(cut.out().isEmpty());
    }

    private Run replay(String text) throws IOException {
        return Run.of(
                "replay",
                Files.writeString(directory.resolve("trace.jsonl"), text).toString());
    }
}
