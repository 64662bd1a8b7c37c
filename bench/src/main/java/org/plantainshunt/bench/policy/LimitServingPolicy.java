package org.plantainshunt.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;

import org.plantainshunt.result.ResultCode;

/**
 * The serving policy of the baselines: a limit on concurrent calls and a bounded FIFO queue.
 *
 * <p>Confined to one thread.
 */
final class LimitServingPolicy implements ServingPolicy {
    private static final int ADMITS_ALL = 512;
    /** The smallest delay that marks a refusal as repeatable; callers then apply their own, longer delay. */
    private static final long RETRY_AFTER_MILLISECONDS = 1;

    private final Node node;
    private final int limit;
    private final int queueLimit;
    private final Deque<InboundCall> queue = new ArrayDeque<>();
    private int handedOver;

    private LimitServingPolicy(Node node, int limit, int queueLimit) {
        this.node = node;
        this.limit = limit;
        this.queueLimit = queueLimit;
    }

    static LimitServingPolicy unlimited(Node node) {
        return new LimitServingPolicy(node, Integer.MAX_VALUE, 0);
    }

    /** Hands over as many calls as the server has slots, and queues as many as its service allows. */
    static LimitServingPolicy fixedLimit(Node node) {
        return new LimitServingPolicy(node, node.service.slots(), node.service.queue());
    }

    /** Refuses calls when all connections of the server are in use; the server itself queues calls for its slots. */
    static LimitServingPolicy connectionLimit(Node node) {
        return new LimitServingPolicy(node, node.service.connections(), 0);
    }

    @Override
    public void arrived(InboundCall call, long now) {
        if (handedOver < limit) {
            handedOver++;
            node.handOver(call);
        } else if (queue.size() < queueLimit) {
            queue.add(call);
        } else {
            node.refuse(call, ResultCode.OVERLOADED, RETRY_AFTER_MILLISECONDS);
        }
    }

    @Override
    public void finished(InboundCall call, boolean answered, long now) {
        handedOver--;
        if (!queue.isEmpty() && handedOver < limit) {
            handedOver++;
            node.handOver(queue.poll());
        }
    }

    @Override
    public boolean cancel(InboundCall call, long now) {
        return queue.remove(call);
    }

    @Override
    public void tick(long now) {
        // This policy has no time-dependent state.
    }

    @Override
    public int level() {
        return ADMITS_ALL;
    }

    @Override
    public int queued() {
        return queue.size();
    }
}
