package org.plantainshunt.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against formatted values that differ from the values read from a document. */
class NotationTest {
    @Property(seed = "20261204")
    void durationsAreReadAsTheyAreWritten(@ForAll @LongRange(max = 10_000_000_000L) long nanoseconds) {
        Duration latency = Duration.ofNanos(nanoseconds);
        Section.Entry entry = new Section.Entry(1, Notation.duration(latency));
        Section section = new Section(1, SectionType.POLICY, List.of(), Map.of("latency", entry), Set.of());
        ErrorList errors = new ErrorList();
        Duration read = new ValueReader(section, errors).duration("latency", Ranges.LATENCY, Duration.ZERO);
        assertEquals(latency, read, errors.inOrder().toString());
    }

    @Test
    void unitsAreTheLargestThatGiveWholeNumbers() {
        assertEquals("1500 ms", Notation.duration(Duration.ofMillis(1500)));
        assertEquals("5 min", Notation.duration(Duration.ofSeconds(300)));
        assertEquals("0 ms", Notation.duration(Duration.ZERO));
        assertEquals("0.25 ms", Notation.duration(Duration.ofNanos(250_000)));
        assertEquals("1536 KiB", Notation.size(1_572_864));
        assertEquals("30 Mbit/s", Notation.rate(30_000_000));
        assertEquals("12.5 %", Notation.share(0.125));
    }
}
