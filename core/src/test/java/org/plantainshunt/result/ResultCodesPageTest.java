package org.plantainshunt.result;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.DocumentErrorCode;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against result codes that are added or changed without updating the published table. */
class ResultCodesPageTest {
    @Test
    void pageListsExactlyTheCodes() throws IOException {
        List<String> rows;
        try (Stream<String> lines = Files.lines(Path.of("..", "docs", "result-codes.md"))) {
            rows = lines.filter(line -> line.matches("\\| [0-9]{4} \\|.*")).toList();
        }
        assertEquals(String.join("\n", expectedRows()), String.join("\n", rows));
    }

    private static List<String> expectedRows() {
        List<String> rows = new ArrayList<>();
        Stream.of(ResultCode.values())
                .sorted(Comparator.comparingInt(ResultCode::number))
                .forEach(code -> rows.add(row(
                        code.number(),
                        code.name(),
                        code.runState().label(),
                        code.number() < 1100 ? "of the backend server" : "" + code.httpStatus(),
                        code.retryElsewhere() ? "yes" : "no",
                        code.explanation())));
        for (DocumentErrorCode code : DocumentErrorCode.values()) {
            rows.add(row(code.number(), code.name(), code.explanation()));
        }
        return rows;
    }

    private static String row(Object... cells) {
        List<String> texts = Stream.of(cells).map(String::valueOf).toList();
        return "| " + String.join(" | ", texts) + " |";
    }
}
