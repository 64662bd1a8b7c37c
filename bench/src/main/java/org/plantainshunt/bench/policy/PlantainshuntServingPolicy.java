package org.plantainshunt.bench.policy;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

import org.plantainshunt.admission.Admission;
import org.plantainshunt.admission.AdmissionQueue;
import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.admission.CallEntry;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;

/**
 * Serving policy with the project's admission queue.
 *
 * <p>Confined to one thread.
 */
final class PlantainshuntServingPolicy implements ServingPolicy {
    private final Node node;
    private final AdmissionQueue queue;
    private final Map<CallEntry, InboundCall> calls = new IdentityHashMap<>();
    private final Map<InboundCall, CallEntry> entries = new IdentityHashMap<>();

    PlantainshuntServingPolicy(Node node) {
        this.node = node;
        queue = new AdmissionQueue(node.service, this::refused);
    }

    @Override
    public void arrived(InboundCall call, long now) {
        Kind kind = call.outboundCall.kindProfile.kind();
        Request request = call.outboundCall.request;
        CallEntry entry =
                new CallEntry(request.idText, request.priority, kind.name(), kind.atMostOnce(), call.deadline(), now);
        calls.put(entry, call);
        entries.put(call, entry);
        if (queue.offer(entry, now) == Admission.START) {
            node.handOver(call);
        }
    }

    @Override
    public void finished(InboundCall call, boolean answered, long now) {
        CallEntry entry = entries.remove(call);
        calls.remove(entry);
        queue.finished(entry, answered ? CallEnd.ANSWERED : CallEnd.CANCELLED, now);
        advance(now);
    }

    @Override
    public boolean cancel(InboundCall call, long now) {
        CallEntry entry = entries.get(call);
        if (entry == null) {
            return false;
        }
        // The queue may first refuse this call because of its deadline, so the maps must still contain it.
        boolean waited = queue.cancel(entry, now);
        entries.remove(call);
        calls.remove(entry);
        return waited;
    }

    @Override
    public void tick(long now) {
        advance(now);
    }

    @Override
    public int level() {
        return queue.level();
    }

    @Override
    public int queued() {
        return queue.waiting();
    }

    private void advance(long now) {
        handOverAll(queue.startable(now));
        for (CallEntry entry : queue.callsToCancel(now)) {
            node.abort(calls.get(entry), ResultCode.RAN_TOO_LONG);
        }
    }

    private void handOverAll(List<CallEntry> started) {
        started.forEach(entry -> node.handOver(calls.get(entry)));
    }

    private void refused(AdmissionQueue.Refused refused) {
        InboundCall call = calls.remove(refused.entry());
        entries.remove(call);
        Refusal refusal = refused.refusal();
        node.refuse(call, refusal.code(), refusal.retryAfterMilliseconds());
    }
}
