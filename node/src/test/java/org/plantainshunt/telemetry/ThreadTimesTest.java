package org.plantainshunt.telemetry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ThreadTimesTest {
    @TempDir
    private Path tasks;

    @Test
    void addsUpThreadsOfTheSameName() throws IOException {
        thread("1", "main\n", "2000000 5 1\n");
        thread("2", "C1 CompilerThre\n", "3000000 5 1\n");
        thread("3", "C1 CompilerThre\n", "4000000 5 1\n");
        assertEquals(Map.of("main", 2L, "C1 CompilerThre", 7L), ThreadTimes.milliseconds(tasks));
    }

    /** Guards against a report that fails because a thread ended while it was made. */
    @Test
    void leavesOutThreadsThatCannotBeRead() throws IOException {
        thread("1", "main\n", "2000000 5 1\n");
        Files.createDirectory(tasks.resolve("2"));
        thread("3", "ended\n", "");
        assertEquals(Map.of("main", 2L), ThreadTimes.milliseconds(tasks));
    }

    @Test
    void isEmptyWithoutProc() {
        assertEquals(Map.of(), ThreadTimes.milliseconds(tasks.resolve("missing")));
    }

    private void thread(String id, String name, String schedule) throws IOException {
        Path thread = Files.createDirectory(tasks.resolve(id));
        Files.writeString(thread.resolve("comm"), name);
        Files.writeString(thread.resolve("schedstat"), schedule);
    }
}
