package org.plantainshunt.cli;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * The state of one node.
 *
 * @param address the queried admin port
 * @param failure why the status could not be read; null if it was read
 * @param node the node's name
 * @param service the service of its backend server
 * @param state the node's state
 * @param ready whether the node accepts requests
 * @param configuration the version of the active configuration, 0 if there is none
 * @param digest the digest of the active document
 * @param rejection why the latest document was rejected; empty if it was accepted
 * @param running the number of requests running at the backend server
 * @param waiting the number of requests in the queue
 * @param limit the maximum number of concurrent requests
 * @param level the admission level, 1 to 512; 0 if the node has no admission queue yet or its level could not be read
 * @param upstreams the backend servers that the node knows
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record NodeStatus(
        String address,
        String failure,
        String node,
        String service,
        String state,
        boolean ready,
        long configuration,
        String digest,
        String rejection,
        int running,
        int waiting,
        int limit,
        int level,
        List<UpstreamState> upstreams) {

    /** The state of an upstream that the node may send requests to. */
    private static final String USABLE = "usable";

    /**
     * A backend server as the node sees it.
     *
     * @param vm the VM
     * @param service the service
     * @param state the state
     */
    record UpstreamState(String vm, String service, String state) {}

    static NodeStatus unreachable(String address, String failure) {
        return new NodeStatus(address, failure, "", "", "", false, 0, "", "", 0, 0, 0, 0, List.of());
    }

    /** Reads a node's status; missing fields become empty or 0, so that nodes of other releases can be shown too. */
    static NodeStatus of(String address, JsonNode status) {
        JsonNode configuration = status.path("configuration");
        List<UpstreamState> upstreams = new ArrayList<>();
        for (JsonNode upstream : status.path("upstreams")) {
            upstreams.add(new UpstreamState(text(upstream, "vm"), text(upstream, "service"), text(upstream, "state")));
        }
        return new NodeStatus(
                address,
                null,
                text(status, "node"),
                text(status, "service"),
                text(status, "state"),
                status.path("ready").asBoolean(),
                configuration.path("number").asLong(),
                text(configuration, "digest"),
                text(configuration, "rejection"),
                status.path("running").asInt(),
                status.path("waiting").asInt(),
                status.path("limit").asInt(),
                status.path("level").asInt(),
                upstreams);
    }

    private static String text(JsonNode parent, String field) {
        JsonNode value = parent.path(field);
        return value.isNull() ? "" : value.asText();
    }

    boolean answered() {
        return failure == null;
    }

    /** Returns whether the node is ready and has rejected no document since it applied the active one. */
    boolean healthy() {
        return ready && rejection.isEmpty();
    }

    long usableUpstreams() {
        return upstreams.stream()
                .filter(upstream -> upstream.state().equals(USABLE))
                .count();
    }
}
