package org.plantainshunt.telemetry;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.plantainshunt.call.HopTracer;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against span files that grow until they fill the memory of a VM without disks, and against wrong parent spans.
 */
class SpanTracerTest {
    private static final int MAX_FILE_BYTES = 100_000;
    /** The size by which a file may exceed its limit: one log record, which is a batch of 512 spans of 700 bytes. */
    private static final int MAX_BATCH_BYTES = 512 * 700;

    @TempDir
    Path directory;

    @Test
    void filesAreBounded() throws Exception {
        Path path = directory.resolve("spans");
        try (SpanTracer tracer = new SpanTracer(path, "vm-1", MAX_FILE_BYTES)) {
            for (int i = 0; i < 8000; i++) {
                tracer.begin("entry", "front", "browse", "").end("request-" + i, ResultCode.ANSWERED);
                if (i % 500 == 0) {
                    Thread.sleep(20);
                }
            }
        }
        long total = Files.size(directory.resolve("spans.0")) + Files.size(directory.resolve("spans.1"));
        assertTrue(total > MAX_FILE_BYTES, "only " + total + " bytes were written");
        assertTrue(total <= 2 * (MAX_FILE_BYTES + MAX_BATCH_BYTES), total + " bytes are kept");
    }

    @Test
    void malformedTraceParentsBeginANewTrace() throws Exception {
        try (SpanTracer tracer = new SpanTracer(directory.resolve("spans"), "vm-1")) {
            String trace = "0af7651916cd43dd8448eb211c80319c";
            assertEquals(trace, traceOf(tracer, "00-" + trace + "-b7ad6b7169203331-01"));
            for (String wrong :
                    new String[] {"", "00", "00-" + trace, "00-" + "0".repeat(32) + "-b7ad6b7169203331-01"}) {
                assertNotEquals(trace, traceOf(tracer, wrong));
            }
        }
    }

    private static String traceOf(SpanTracer tracer, String traceParent) {
        HopTracer.Hop hop = tracer.begin("entry", "front", "browse", traceParent);
        hop.end("request", ResultCode.ANSWERED);
        return hop.traceParent().split("-")[1];
    }
}
