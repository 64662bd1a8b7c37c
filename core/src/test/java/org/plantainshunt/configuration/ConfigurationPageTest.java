package org.plantainshunt.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against sections and keys that are added, renamed or removed without updating their documentation. */
class ConfigurationPageTest {
    @Test
    void pageListsExactlyTheSectionsAndKeys() throws IOException {
        List<String> expected = new ArrayList<>();
        for (SectionType type : SectionType.values()) {
            expected.add("### `" + type.form() + "`");
            type.keys().forEach(key -> expected.add("| `" + key + "` |"));
        }
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("..", "docs", "configuration.md"))) {
            if (line.startsWith("### ")) {
                found.add(line);
            } else if (line.startsWith("| `")) {
                found.add(line.substring(0, line.indexOf('|', 1) + 1));
            }
        }
        assertEquals(String.join("\n", expected), String.join("\n", found));
    }
}
