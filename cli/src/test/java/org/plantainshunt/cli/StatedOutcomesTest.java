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

/** Checks the expected outcomes of each trace, the output of the replay command, and its handling of invalid files. */
@UseReporter(JunitReporter.class) // The default reporter would start a diff program.
class StatedOutcomesTest {
    @TempDir
    Path directory;

    @ParameterizedTest
    @EnumSource
    void statementsHold(TraceGenerator.Scenario scenario) throws IOException, CommandException {
        Outcomes outcomes = Replay.run(TraceReader.read(scenario.file().toString()), OptionalInt.empty());
        List<String> failures = failures(scenario, outcomes);
        assertTrue(failures.isEmpty(), String.join("\n", failures));
    }

    /** Statements that also hold for a plain FIFO queue would say nothing about the admission queue. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "BELL_MORNING")
    void statementsFailForTheRecordedPlainQueue(TraceGenerator.Scenario scenario) throws IOException, CommandException {
        Outcomes recorded = Outcomes.recorded(TraceReader.read(scenario.file().toString()));
        assertFalse(failures(scenario, recorded).isEmpty());
    }

    private static List<String> failures(TraceGenerator.Scenario scenario, Outcomes outcomes) throws IOException {
        List<String> failures = new ArrayList<>();
        int checked = 0;
        Path statements = scenario.file().resolveSibling(scenario.fileName() + ".statements");
        for (String line : Files.readAllLines(statements)) {
            if (!line.startsWith("#")) {
                Statement.check(line, outcomes).ifPresent(failure -> failures.add(line + ": " + failure));
                checked++;
            }
        }
        assertTrue(checked > 0, "no statements in " + statements);
        return failures;
    }

    /** Guards against changes to the generator or to a trace file that are not made to the other. */
    @ParameterizedTest
    @EnumSource
    void filesMatchTheGenerator(TraceGenerator.Scenario scenario) throws Exception {
        try (InputStream file = new GZIPInputStream(new ByteArrayInputStream(Files.readAllBytes(scenario.file())))) {
            assertEquals(TraceGenerator.text(scenario), new String(file.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    @ParameterizedTest
    @EnumSource
    void tablesShowOutcomesAndDifferences(TraceGenerator.Scenario scenario) {
        CommandResult run = CommandResult.of("replay", scenario.file().toString());
        assertEquals(ExitCode.SUCCESS, run.exitCode(), run.err());
        Approvals.verify(run.out(), Approvals.NAMES.withParameters(scenario.fileName()));
    }

    @Test
    void jsonHoldsWhatTheTableShows() throws IOException {
        String file = TraceGenerator.Scenario.LINE_SALE.file().toString();
        CommandResult run = CommandResult.of("replay", file, "--slots", "24", "--output", "json");
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
    void invalidFilesAndArgumentsSetTheExitCode() throws Exception {
        String file = TraceGenerator.Scenario.LINE_SALE.file().toString();
        assertEquals(
                ExitCode.USAGE, CommandResult.of("replay", file, "--slots", "0").exitCode());
        assertEquals(
                ExitCode.UNREADABLE,
                CommandResult.of("replay", directory.resolve("none").toString()).exitCode());
        assertEquals(ExitCode.CHECK_FAILED, replay("").exitCode());
        assertEquals(
                ExitCode.CHECK_FAILED,
                replay("{\"event\":\"header\",\"version\":2}\n").exitCode());
        String first = TraceGenerator.text(TraceGenerator.Scenario.LINE_SALE)
                .lines()
                .findFirst()
                .orElseThrow();
        assertEquals(ExitCode.CHECK_FAILED, replay(first + "\nhalf\n" + first).exitCode());
        CommandResult cut = replay(first + "\n{\"event\":\"arriv");
        assertEquals(ExitCode.SUCCESS, cut.exitCode());
        assertFalse(cut.out().isEmpty());
    }

    private CommandResult replay(String text) throws IOException {
        return CommandResult.of(
                "replay",
                Files.writeString(directory.resolve("trace.jsonl"), text).toString());
    }
}
