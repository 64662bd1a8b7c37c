package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.plantainshunt.configuration.DocumentVersion;

/**
 * Reads the status of every node over and over, and notes any node that goes back to an older configuration.
 *
 * <p>A VM counts as the same over restarts of its node: a node that is ready must have at least what it had before.
 * Safe for use by any thread.
 */
final class StatusWatch implements AutoCloseable {
    private static final long PAUSE_MILLISECONDS = 50;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<FleetVm> vms;
    private final Map<String, DocumentVersion> highest = new ConcurrentHashMap<>();
    private final Collection<String> reversions = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::watch, "status-watch");

    StatusWatch(List<FleetVm> vms) {
        this.vms = List.copyOf(vms);
        thread.start();
    }

    /** Returns descriptions of what went back. */
    Collection<String> reversions() {
        return List.copyOf(reversions);
    }

    /** Returns the version at a node, or nothing if it does not answer or is not ready. */
    Optional<DocumentVersion> version(FleetVm vm) throws InterruptedException {
        // Without the lock, an answer that was read earlier could be noted later and look like a reversion.
        synchronized (vm) {
            return readAndNote(vm);
        }
    }

    private Optional<DocumentVersion> readAndNote(FleetVm vm) throws InterruptedException {
        Optional<JsonNode> status = status(vm);
        if (status.isEmpty() || !status.get().path("ready").asBoolean()) {
            return Optional.empty();
        }
        JsonNode configuration = status.get().path("configuration");
        DocumentVersion version = new DocumentVersion(
                configuration.path("number").asLong(),
                configuration.path("digest").asText());
        note(vm.name(), version);
        return Optional.of(version);
    }

    /** Returns whether all these nodes have the version. */
    boolean all(Collection<FleetVm> nodes, DocumentVersion version) throws InterruptedException {
        for (FleetVm vm : nodes) {
            if (!version(vm).equals(Optional.of(version))) {
                return false;
            }
        }
        return true;
    }

    /** Returns the reason of the last rejection at a node; an empty text if there was none. */
    String rejection(FleetVm vm) throws InterruptedException {
        return status(vm)
                .map(status -> status.path("configuration").path("rejection").asText())
                .orElse("");
    }

    @Override
    public void close() {
        thread.interrupt();
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void watch() {
        try {
            while (true) {
                for (FleetVm vm : vms) {
                    version(vm);
                }
                Thread.sleep(PAUSE_MILLISECONDS);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static Optional<JsonNode> status(FleetVm vm) throws InterruptedException {
        try {
            return Optional.of(JSON.readTree(vm.admin("status")));
        } catch (IOException notRunning) {
            return Optional.empty();
        }
    }

    private void note(String vm, DocumentVersion version) {
        DocumentVersion former = highest.get(vm);
        if (former != null && former.compareTo(version) > 0) {
            reversions.add(vm + " went from " + former + " back to " + version);
            return;
        }
        highest.put(vm, version);
    }
}
