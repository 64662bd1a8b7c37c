package org.plantainshunt.http;

import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Formats the metrics of a registry as JSON or as lines of plain text. Thread-safe. */
public final class MetricsReport {
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final MetricRegistry registry;

    /** Creates a report of the metrics in a registry. */
    public MetricsReport(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns all gauges, counters and timers; times are in milliseconds. */
    public JsonNode json() {
        ObjectNode tree = MAPPER.createObjectNode();
        ObjectNode gauges = tree.putObject("gauges");
        registry.getGauges().forEach((name, gauge) -> gauges.set(name, MAPPER.valueToTree(gauge.getValue())));
        ObjectNode counters = tree.putObject("counters");
        registry.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
        ObjectNode timers = tree.putObject("timers");
        registry.getTimers().forEach((name, timer) -> describe(timers.putObject(name), timer));
        return tree;
    }

    /** Returns the values of {@link #json}, one per line: the name, a space and the value. */
    public String text() {
        TreeMap<String, String> lines = new TreeMap<>();
        flatten("", json(), lines);
        StringBuilder text = new StringBuilder();
        lines.forEach(
                (name, value) -> text.append(name).append(' ').append(value).append('\n'));
        return text.toString();
    }

    private static void describe(ObjectNode node, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        node.put("count", timer.getCount())
                .put("perSecond", timer.getOneMinuteRate())
                .put("p50Milliseconds", snapshot.getMedian() / NANOSECONDS_PER_MILLISECOND)
                .put("p99Milliseconds", snapshot.get99thPercentile() / NANOSECONDS_PER_MILLISECOND)
                .put("p999Milliseconds", snapshot.get999thPercentile() / NANOSECONDS_PER_MILLISECOND);
    }

    private static void flatten(String prefix, JsonNode node, TreeMap<String, String> lines) {
        if (!node.isObject()) {
            lines.put(prefix, node.asText());
            return;
        }
        node.fields()
                .forEachRemaining(field -> flatten(
                        prefix.isEmpty() ? field.getKey() : prefix + "." + field.getKey(), field.getValue(), lines));
    }
}
