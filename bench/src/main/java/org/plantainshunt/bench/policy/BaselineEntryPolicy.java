package org.plantainshunt.bench.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The entry policy of the baselines: round robin over the servers of the region, with up to three retries or none.
 *
 * <p>With retries enabled, each hop retries every failure, without coordination between the hops. Confined to one
 * thread.
 */
final class BaselineEntryPolicy implements EntryPolicy {
    private static final int RETRIES_PER_HOP = 3;

    private final Simulation simulation;
    private final Node node;
    private final boolean retriesEnabled;
    private final Map<String, Integer> roundRobinCounters = new HashMap<>();

    BaselineEntryPolicy(Simulation simulation, Node node, boolean retriesEnabled) {
        this.simulation = simulation;
        this.node = node;
        this.retriesEnabled = retriesEnabled;
    }

    @Override
    public Route routeFirstAttempt(OutboundCall call, long now) {
        return Route.to(choose(call));
    }

    @Override
    public Optional<Node> chooseRetryServer(OutboundCall call, Reply failed, long now) {
        boolean mayRetry = retriesEnabled && call.attempts() <= RETRIES_PER_HOP;
        return mayRetry ? Optional.of(choose(call)) : Optional.empty();
    }

    @Override
    public void attemptEnded(OutboundCall call, Node server, Reply reply, long now) {
        // The baselines ignore the outcome of attempts.
    }

    @Override
    public void callEnded(OutboundCall call) {
        // The baselines do not track retries across hops.
    }

    @Override
    public Map<String, Integer> levels(long now) {
        return Map.of();
    }

    @Override
    public int closeAllowance(InboundCall inbound) {
        return 0;
    }

    private Node choose(OutboundCall call) {
        String service = call.kindProfile.kind().service();
        List<Node> servers = simulation.servers(service, node.region());
        int counter = roundRobinCounters.merge(service, 1, Integer::sum) + node.index;
        return servers.get(counter % servers.size());
    }
}
