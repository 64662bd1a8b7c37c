package org.plantainshunt.call;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.membership.Membership;
import org.plantainshunt.routing.DownstreamLevels;

/**
 * A snapshot of the load and state of a node.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param takenAt when the snapshot was taken, in nanoseconds of the node's monotonic clock
 * @param draining whether the backend server is draining
 * @param running the number of calls that run at the backend server
 * @param waiting the number of queued calls
 * @param limit the number of calls that may run at a time
 * @param level the admission level, 1 to 512, or 0 if the node has no admission queue yet
 * @param servingCalls the number of calls that wait or run at this node
 * @param entryCalls the number of calls that entered at this node and have no reply yet
 * @param tickets the number of tickets in the ticket table
 */
public record Snapshot(
        long takenAt,
        boolean draining,
        int running,
        int waiting,
        int limit,
        int level,
        int servingCalls,
        int entryCalls,
        int tickets) {
    static final long INTERVAL = TimeUnit.MILLISECONDS.toNanos(500);
    static final Snapshot EMPTY = new Snapshot(Long.MIN_VALUE / 2, false, 0, 0, 0, 0, 0, 0, 0);

    /** Returns whether calls wait, or entry nodes are told to refuse some. */
    boolean isOverloaded() {
        return waiting > 0 || level > 0 && level < DownstreamLevels.ADMITS_ALL;
    }

    /**
     * A backend server as this node sees it.
     *
     * @param vm the VM's name
     * @param service the service
     * @param usable whether calls may be routed to it
     */
    public record UpstreamState(String vm, String service, boolean usable) {}

    /** Lists the backend servers that the node knows; there are none without a configuration. */
    static List<UpstreamState> upstreams(Membership membership, Optional<Document> document, long now) {
        List<UpstreamState> found = new ArrayList<>();
        if (document.isEmpty()) {
            return found;
        }
        Set<String> usable = new HashSet<>();
        for (Service service : document.get().services()) {
            membership
                    .usable(service.name(), now)
                    .forEach(upstream -> usable.add(upstream.vm().name()));
        }
        for (Vm vm : membership.peers()) {
            found.add(new UpstreamState(vm.name(), vm.service(), usable.contains(vm.name())));
        }
        return found;
    }
}
