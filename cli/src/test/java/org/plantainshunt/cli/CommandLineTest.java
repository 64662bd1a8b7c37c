package org.plantainshunt.cli;

import java.io.IOException;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.JunitReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the output that operators and their scripts rely on: tables, JSON and exit codes. */
@UseReporter(JunitReporter.class) // The default reporter would start a diff program.
class CommandLineTest {
    @TempDir
    Path directory;

    @Test
    void checkSummarizesValidDocuments() {
        CommandResult run = CommandResult.of("check", CommandResult.BELL_MESH);
        assertEquals(ExitCode.SUCCESS, run.exitCode());
        Approvals.verify(run.out().replaceFirst("[0-9a-f]{64}", "<digest>"));
    }

    @Test
    void checkListsAllErrors() throws IOException {
        String file = invalidFile();
        CommandResult run = CommandResult.of("check", file);
        assertEquals(ExitCode.CHECK_FAILED, run.exitCode());
        Approvals.verify(run.out().replace(file, "changed.ini"));
    }

    @Test
    void diffDescribesChangesInBehaviour() throws IOException {
        String file = CommandResult.changedBellMesh(
                directory,
                "version = 1",
                "version = 2",
                "slots = 30\n",
                "slots = 40\n",
                "class = sheddable",
                "class = standard",
                "calls = recorder lookup-bell x4",
                "calls = recorder lookup-bell x4, archive lookup x1",
                "[kind recorder retire-chime]\nclass = important\nruns = at-most-once",
                "[kind recorder remove-chime]\nclass = important\nruns = repeatable",
                "bandwidth = 30 Mbit/s",
                "bandwidth = 50 Mbit/s # upgraded",
                "retry-budget = 10 %",
                "retry-budget = 5 %");
        CommandResult run = CommandResult.of("diff", CommandResult.BELL_MESH, file);
        assertEquals(ExitCode.SUCCESS, run.exitCode());
        Approvals.verify(run.out());
    }

    @Test
    void diffOfTheSameDocumentIsEmpty() {
        CommandResult run = CommandResult.of("diff", CommandResult.BELL_MESH, CommandResult.BELL_MESH);
        assertEquals(ExitCode.SUCCESS, run.exitCode());
        assertEquals("version 1 -> 1: no change in behaviour\n", run.out());
    }

    @Test
    void diffFailsForDocumentsThatNodesWouldIgnore() throws IOException {
        String newer = CommandResult.changedBellMesh(directory, "version = 1", "version = 2");
        CommandResult run = CommandResult.of("diff", newer, CommandResult.BELL_MESH);
        assertEquals(ExitCode.CHECK_FAILED, run.exitCode());
        assertTrue(run.out().contains("nodes ignore the new document; write at least 3"), run.out());
    }

    @Test
    void explainShowsLimitsCallsAndAdvice() {
        CommandResult run =
                CommandResult.of("explain", CommandResult.BELL_MESH, "scheduler", "push-schedule", "--code", "1202");
        assertEquals(ExitCode.SUCCESS, run.exitCode());
        Approvals.verify(run.out());
    }

    @Test
    void codesListsAllCodes() {
        CommandResult run = CommandResult.of("codes");
        assertEquals(ExitCode.SUCCESS, run.exitCode());
        Approvals.verify(run.out());
    }

    @Test
    void jsonHoldsWhatTablesShow() throws IOException {
        JsonNode check = json(CommandResult.of("check", "--output", "json", invalidFile()));
        assertEquals(2014, check.path("errors").path(1).path("code").asInt());
        JsonNode explain =
                json(CommandResult.of("explain", CommandResult.BELL_MESH, "playlist", "browse", "--output", "json"));
        assertEquals(4, explain.path("calls").path(2).path("mostCalls").asInt());
        assertEquals(9, explain.path("mostCalls").asInt());
        assertEquals(3, explain.path("retryBound").asInt());
        assertTrue(json(CommandResult.of("diff", "--output", "json", CommandResult.BELL_MESH, CommandResult.BELL_MESH))
                .path("taken")
                .asBoolean());
        JsonNode codes = json(CommandResult.of("codes", "--output", "json"));
        assertEquals(1000, codes.path("results").path(0).path("number").asInt());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "chekc a.ini",
                "check",
                "check a.ini --output yaml",
                "explain a.ini s k --code 999",
                "explain a.ini s k --code x",
                "status 127.0.0.1",
                "status 127.0.0.1:x",
                "status 127.0.0.1:80/a"
            })
    void invalidArgumentsExitWithUsage(String arguments) {
        CommandResult run = CommandResult.of(arguments.isEmpty() ? new String[0] : arguments.split(" "));
        assertEquals(ExitCode.USAGE, run.exitCode());
        assertTrue(run.out().isEmpty() && !run.err().isEmpty(), run.toString());
    }

    @Test
    void unreadableFilesAndInvalidOnesDiffer() throws IOException {
        assertEquals(
                ExitCode.UNREADABLE,
                CommandResult.of("check", directory.resolve("none.ini").toString())
                        .exitCode());
        assertEquals(
                ExitCode.UNREADABLE,
                CommandResult.of("check", directory.toString()).exitCode());
        assertEquals(
                ExitCode.CHECK_FAILED,
                CommandResult.of("diff", CommandResult.BELL_MESH, invalidFile()).exitCode());
        CommandResult run = CommandResult.of("explain", CommandResult.BELL_MESH, "playlist", "burn");
        assertEquals(ExitCode.CHECK_FAILED, run.exitCode());
        assertTrue(run.err().contains("playlist browse"), run.err());
    }

    private String invalidFile() throws IOException {
        return CommandResult.changedBellMesh(
                directory,
                "deadline = 1500 ms",
                "deadline = 0 ms",
                "target-queue-delay = 20 ms",
                "target-queue-delay = 20",
                "[service scheduler]",
                "[service schedular]",
                "[policy]",
                "[polices]",
                "name = bell-mesh",
                "nmae = bell-mesh",
                "version = 1",
                "version = 0");
    }

    private static JsonNode json(CommandResult run) throws IOException {
        return new ObjectMapper().readTree(run.out());
    }
}
