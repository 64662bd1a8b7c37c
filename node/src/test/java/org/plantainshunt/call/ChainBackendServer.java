package org.plantainshunt.call;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** A backend server that makes the calls of a request as {@link ChainFleet} states them, and fails if one fails. */
final class ChainBackendServer extends FakeBackendServer {
    private final ChainFleet chain;
    private final FakeVm vm;
    private final Map<String, Exchange> open = new HashMap<>();

    ChainBackendServer(ChainFleet chain, FakeVm vm) {
        super(vm);
        this.chain = chain;
        this.vm = vm;
    }

    @Override
    public void send(Handover request, Listener listener) {
        if (chain.rejects(vm)) {
            vm.fleet.schedule(ChainFleet.LOCAL_DELAY, () -> listener.failed(FailureStage.NOT_RUN, "rejected"));
            return;
        }
        Exchange exchange = new Exchange(request, listener);
        open.put(request.callId(), exchange);
        vm.fleet.schedule(chain.workTime(vm, request.kind()), () -> callDownstream(exchange));
    }

    @Override
    public void cancel(String callId) {
        Exchange exchange = open.remove(callId);
        if (exchange != null) {
            exchange.listener.failed(FailureStage.AFTER_SENT, "cancelled");
        }
    }

    int open() {
        return open.size();
    }

    private void callDownstream(Exchange exchange) {
        ChainFleet.Calls calls = ChainFleet.callsOf(exchange.request.kind());
        if (calls.number() == 0) {
            end(exchange, 200);
            return;
        }
        exchange.callsLeft = calls.number();
        for (int call = 0; call < (calls.together() ? calls.number() : 1); call++) {
            call(exchange, calls);
        }
    }

    private void call(Exchange exchange, ChainFleet.Calls calls) {
        int number = ++exchange.callsMade;
        InboundCall call = new InboundCall(
                calls.service(),
                calls.kind(),
                "",
                "GET",
                List.of(),
                exchange.request.requestId().getBytes(StandardCharsets.UTF_8),
                exchange.request.requestId() + "." + number,
                Optional.empty(),
                OptionalLong.of(Math.max(0, (exchange.request.deadline() - vm.fleet.now()) / FakeFleet.MILLISECOND)),
                1,
                Optional.of(exchange.request.requestId()),
                "",
                false,
                vm.fleet.now());
        vm.entry.call(call, reply -> {
            chain.called(calls.kind(), number, reply);
            vm.fleet.schedule(ChainFleet.LOCAL_DELAY, () -> called(exchange, calls, reply));
        });
    }

    private void called(Exchange exchange, ChainFleet.Calls calls, CallReply reply) {
        if (!open.containsKey(exchange.request.callId())) {
            return;
        }
        if (reply.status() != 200) {
            end(exchange, 500);
            return;
        }
        exchange.callsLeft--;
        if (exchange.callsLeft == 0) {
            end(exchange, 200);
        } else if (!calls.together()) {
            call(exchange, calls);
        }
    }

    private void end(Exchange exchange, int status) {
        if (open.remove(exchange.request.callId()) != null) {
            exchange.listener.answered(status, List.of(), exchange.request.body());
        }
    }

    private static final class Exchange {
        private final Handover request;
        private final Listener listener;
        private int callsMade;
        private int callsLeft;

        Exchange(Handover request, Listener listener) {
            this.request = request;
            this.listener = listener;
        }
    }
}
