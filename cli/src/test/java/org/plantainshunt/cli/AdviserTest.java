package org.plantainshunt.cli;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against result codes without advice, and against advice that makes a caller run work twice. */
class AdviserTest {
    @ParameterizedTest
    @EnumSource(ResultCode.class)
    void eachCodeHasAdviceThatNeverRunsWorkTwice(ResultCode code) throws Exception {
        Document document = Document.parse(Files.readAllBytes(Path.of(CommandResult.BELL_MESH)));
        for (Kind kind : document.kinds()) {
            Advice advice = new Adviser(document, kind).advise(code);
            assertFalse(advice.why().isBlank()
                    || advice.caller().isBlank()
                    || advice.operator().isBlank());
            if (kind.atMostOnce() && code.runState() == RunState.UNKNOWN) {
                assertTrue(
                        advice.caller().contains("with the same ticket")
                                || advice.caller().contains("before taking a new ticket"),
                        advice.caller());
            }
        }
    }
}
