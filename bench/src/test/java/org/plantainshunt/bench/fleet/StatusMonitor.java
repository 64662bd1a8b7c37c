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
 * Polls the status of every node and records any node that reverts to an older configuration.
 *
 * <p>Restarts are included: a node that is ready again must have at least the version that it had before.
 * Safe for use by any thread.
 */
final class StatusMonitor implements AutoCloseable {
    private static final long POLL_INTERVAL_MILLISECONDS = 50;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<FleetVm> vms;
    private final Map<String, DocumentVersion> highest = new ConcurrentHashMap<>();
    private final Collection<String> reversions = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::poll, "status-monitor");

    StatusMonitor(List<FleetVm> vms) {
        this.vms = List.copyOf(vms);
        thread.start();
    }

    /** Returns a description of each reversion. */
    Collection<String> reversions() {
        return List.copyOf(reversions);
    }

    /** Returns the version at a node, or empty if it does not answer or is not ready. */
    Optional<DocumentVersion> version(FleetVm vm) throws InterruptedException {
        // Without the lock, an answer that was read earlier could be recorded later and look like a reversion.
        synchronized (vm) {
            return readAndRecordVersion(vm);
        }
    }

    private Optional<DocumentVersion> readAndRecordVersion(FleetVm vm) throws InterruptedException {
        Optional<JsonNode> status = status(vm);
        if (status.isEmpty() || !status.get().path("ready").asBoolean()) {
            return Optional.empty();
        }
        JsonNode configuration = status.get().path("configuration");
        DocumentVersion version = new DocumentVersion(
                configuration.path("number").asLong(),
                configuration.path("digest").asText());
        recordVersion(vm.name(), version);
        return Optional.of(version);
    }

    /** Returns whether all these nodes have the version. */
    boolean allHaveVersion(Collection<FleetVm> nodes, DocumentVersion version) throws InterruptedException {
        for (FleetVm vm : nodes) {
            if (!version(vm).equals(Optional.of(version))) {
                return false;
            }
        }
        return true;
    }

    /** Returns the reason of the last rejection at a node; an empty string if there was none. */
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

    private void poll() {
        try {
            while (true) {
                for (FleetVm vm : vms) {
                    version(vm);
                }
                Thread.sleep(POLL_INTERVAL_MILLISECONDS);
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

    private void recordVersion(String vm, DocumentVersion version) {
        DocumentVersion former = highest.get(vm);
        if (former != null && former.compareTo(version) > 0) {
            reversions.add(vm + " reverted from " + former + " to " + version);
            return;
        }
        highest.put(vm, version);
    }
}
