package org.plantainshunt.call;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** A backend server that records each request when it receives it. */
class FakeBackendServer implements BackendServer {
    private final FakeVm vm;
    private final List<Exchange> open = new ArrayList<>();
    private boolean down;
    private int requestsPerError;
    private boolean cutsAnswers = true;

    FakeBackendServer(FakeVm vm) {
        this.vm = vm;
    }

    @Override
    public void send(Handover request, Listener listener) {
        String work = new String(request.body(), StandardCharsets.UTF_8);
        if (down) {
            vm.fleet.schedule(0, () -> listener.failed(FailureStage.BEFORE_SENT, "connection refused"));
            return;
        }
        vm.fleet.log(vm.name + " runs " + work + " " + request.kind());
        vm.fleet.recordRun(work);
        Exchange exchange = new Exchange(request, listener);
        open.add(exchange);
        int calls = request.kind().equals("browse") ? 2 : 0;
        for (int i = 0; i < calls; i++) {
            vm.fleet.schedule(vm.fleet.randomDelay(5), () -> callDownstream(request, 1 + vm.fleet.random.nextInt(3)));
        }
        vm.fleet.schedule(vm.fleet.randomDelay(60), () -> end(exchange));
    }

    @Override
    public void cancel(String callId) {}

    /** Fails all open exchanges; the backend server may have run their requests. */
    void kill(long downFor) {
        vm.fleet.log(vm.name + " loses its backend server");
        down = true;
        for (Exchange exchange : new ArrayList<>(open)) {
            open.remove(exchange);
            exchange.listener.failed(FailureStage.AFTER_SENT, "connection reset");
        }
        vm.fleet.schedule(downFor, () -> down = false);
    }

    /** Stops cutting off answers at random. */
    void stopCuttingAnswers() {
        cutsAnswers = false;
    }

    /** Answers all requests with an error from now on. */
    void failAll() {
        failOneIn(1);
    }

    /** Answers about one in the given number of requests with an error from now on. */
    void failOneIn(int requests) {
        requestsPerError = requests;
    }

    /** Drops all exchanges, since the node that would receive the answers is gone. */
    void nodeLost() {
        open.clear();
    }

    private void end(Exchange exchange) {
        if (!open.remove(exchange)) {
            return;
        }
        if (requestsPerError > 0 && vm.fleet.random.nextInt(requestsPerError) == 0) {
            exchange.listener.answered(500, List.of(), exchange.request.body());
            return;
        }
        if (cutsAnswers && vm.fleet.random.nextInt(20) == 0) {
            exchange.listener.failed(FailureStage.ANSWER_CUT, "the answer ended early");
            return;
        }
        exchange.listener.answered(200, List.of(), exchange.request.body());
    }

    /** Calls a downstream service, with retries of the backend server's own when it gets no answer. */
    private void callDownstream(Handover request, int attemptsLeft) {
        if (vm.incarnation == 0) {
            return;
        }
        InboundCall call = new InboundCall(
                "deep",
                "lookup",
                "",
                "GET",
                List.of(),
                request.body(),
                request.requestId(),
                Optional.empty(),
                OptionalLong.empty(),
                1,
                Optional.of(request.context()),
                "",
                true,
                vm.fleet.now());
        vm.run(
                vm.incarnation,
                () -> vm.entry.call(call, reply -> {
                    if (reply.refusal().isPresent() && attemptsLeft > 1) {
                        vm.fleet.schedule(FakeFleet.MILLISECOND, () -> callDownstream(request, attemptsLeft - 1));
                    }
                }));
    }

    private record Exchange(Handover request, Listener listener) {}
}
