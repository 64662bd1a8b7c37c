package org.plantainshunt.call;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** A backend server that records each request when it receives it. */
final class FakeBackendServer implements BackendServer {
    private final FakeVm vm;
    private final List<Exchange> open = new ArrayList<>();
    private boolean down;
    private int errsOneIn;
    private boolean cutting = true;

    FakeBackendServer(FakeVm vm) {
        this.vm = vm;
    }

    @Override
    public void send(Handover request, Listener listener) {
        String work = new String(request.body(), StandardCharsets.UTF_8);
        if (down) {
            vm.fleet.after(0, () -> listener.failed(FailureStage.BEFORE_SENT, "connection refused"));
            return;
        }
        vm.fleet.log(vm.name + " runs " + work + " " + request.kind());
        vm.fleet.ran(work);
        Exchange exchange = new Exchange(request, listener);
        open.add(exchange);
        int calls = request.kind().equals("browse") ? 2 : 0;
        for (int i = 0; i < calls; i++) {
            vm.fleet.after(vm.fleet.upToMilliseconds(5), () -> callDeep(request, 1 + vm.fleet.random.nextInt(3)));
        }
        vm.fleet.after(vm.fleet.upToMilliseconds(60), () -> end(exchange));
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
        vm.fleet.after(downFor, () -> down = false);
    }

    /** Stops cutting off answers at random. */
    void keepAnswersWhole() {
        cutting = false;
    }

    /** Answers all requests with an error from now on. */
    void err() {
        errOneIn(1);
    }

    /** Answers about one in the given number of requests with an error from now on. */
    void errOneIn(int requests) {
        errsOneIn = requests;
    }

    /** Drops all exchanges, since the node that would receive the answers is gone. */
    void nodeLost() {
        open.clear();
    }

    private void end(Exchange exchange) {
        if (!open.remove(exchange)) {
            return;
        }
        if (errsOneIn > 0 && vm.fleet.random.nextInt(errsOneIn) == 0) {
            exchange.listener.answered(500, List.of(), exchange.request.body());
            return;
        }
        if (cutting && vm.fleet.random.nextInt(20) == 0) {
            exchange.listener.failed(FailureStage.ANSWER_CUT, "the answer ended early");
            return;
        }
        exchange.listener.answered(200, List.of(), exchange.request.body());
    }

    /** Calls a downstream service, with retries of the backend server's own when it gets no answer. */
    private void callDeep(Handover request, int attemptsLeft) {
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
                        vm.fleet.after(FakeFleet.MILLISECOND, () -> callDeep(request, attemptsLeft - 1));
                    }
                }));
    }

    private record Exchange(Handover request, Listener listener) {}
}
