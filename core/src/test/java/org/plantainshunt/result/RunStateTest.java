package org.plantainshunt.result;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards the header values that callers parse against an accidental rename. */
class RunStateTest {
    @Test
    void labelsAreTheDocumentedHeaderValues() {
        assertEquals("not-run", RunState.NOT_RUN.label());
        assertEquals("run", RunState.RUN.label());
        assertEquals("unknown", RunState.UNKNOWN.label());
    }
}
