package org.plantainshunt.node;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.plantainshunt.call.Snapshot;
import org.plantainshunt.configuration.AcceptedDocument;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.DocumentVersion;
import org.plantainshunt.control.FleetControl;

/** Describes the state of a node as JSON, for the command line tool. Thread-safe. */
final class StatusReport {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Node node;

    StatusReport(Node node) {
        this.node = node;
    }

    /** Passes the description to the listener, on any thread. */
    void describe(Consumer<JsonNode> listener) {
        node.coordinator().upstreams(upstreams -> listener.accept(json(upstreams)));
    }

    private JsonNode json(List<Snapshot.UpstreamState> known) {
        Snapshot snapshot = node.snapshot();
        ObjectNode tree = MAPPER.createObjectNode();
        tree.put("node", node.settings().name());
        tree.put("service", node.settings().service());
        tree.put("state", node.state());
        tree.put("ready", node.ready());
        tree.put("backendServer", node.backendServerHealth());
        describe(tree.putObject("configuration"), node.control().configuration());
        describe(tree.putObject("store"), node.control().storeAccess());
        tree.put("running", snapshot.running());
        tree.put("waiting", snapshot.waiting());
        tree.put("limit", snapshot.limit());
        tree.put("level", snapshot.level());
        ArrayNode upstreams = tree.putArray("upstreams");
        for (Snapshot.UpstreamState upstream : known) {
            upstreams
                    .addObject()
                    .put("vm", upstream.vm())
                    .put("service", upstream.service())
                    .put("state", upstream.usable() ? "usable" : "unusable");
        }
        tree.put("incarnation", Long.toString(node.incarnation()));
        tree.put(
                "uptimeSeconds",
                TimeUnit.MILLISECONDS.toSeconds(
                        ManagementFactory.getRuntimeMXBean().getUptime()));
        return tree;
    }

    private static void describe(ObjectNode tree, FleetControl.StoreAccess access) {
        tree.put("reads", access.reads());
        access.sources().forEach(tree.putArray("sources")::add);
        access.followers().forEach(tree.putArray("followers")::add);
    }

    private static void describe(ObjectNode tree, AcceptedDocument configuration) {
        // Read once: if another document became active between two reads, number and digest would not match.
        Optional<DocumentVersion> version = configuration.current().map(Document::version);
        tree.put("number", version.map(DocumentVersion::number).orElse(0L));
        tree.put("digest", version.map(DocumentVersion::digest).orElse(""));
        tree.put(
                "rejection",
                configuration.lastRejection().map(Throwable::getMessage).orElse(""));
    }
}
