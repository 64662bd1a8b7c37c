package org.plantainshunt.standins;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.Headers;
import ratpack.server.RatpackServer;

/**
 * Stands in for a backend server: runs requests in a bounded number of slots for random service times, makes outbound
 * calls, and honours deadlines and cancellation.
 *
 * <p>The first path segment is the kind of request, except for {@code /plantainshunt} and {@code /control}.
 * Thread-safe.
 */
public final class BackendServer implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int MAX_FILLER_BYTES = 2 * 1024 * 1024;

    private final BackendServerOptions options;
    private final String process = Long.toHexString(ThreadLocalRandom.current().nextLong() & Long.MAX_VALUE);
    private final SlotPool slotPool;
    private final ServiceTimes serviceTimes;
    private final RequestJournal journal;
    private final Optional<OutboundCalls> outbound;
    private final ScheduledExecutorService timers;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<String, ReceivedRequest> activeRequests = new ConcurrentHashMap<>();
    private final ServerReports reports;
    private final RatpackServer server;

    /**
     * Starts the server.
     *
     * @throws Exception if the address cannot be bound or the record file cannot be opened
     */
    BackendServer(BackendServerOptions options) throws Exception {
        this.options = options;
        this.slotPool = new SlotPool(options.slots(), options.queue());
        this.serviceTimes = new ServiceTimes(
                options.meanMilliseconds(), options.spread(), new SplittableRandom(options.seed()), System.nanoTime());
        this.journal = new RequestJournal(options.recordLimit(), options.recordFile());
        this.outbound = options.outbound().isEmpty()
                ? Optional.empty()
                : Optional.of(new OutboundCalls(options.outbound().get(), options.calls(), options.callAttempts()));
        this.timers = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "timers");
            thread.setDaemon(true);
            return thread;
        });
        this.reports = new ServerReports(options.slots(), options.reportLagMilliseconds(), slotPool::busy);
        this.server = HttpServers.start(options.listen(), THREADS, this::routes);
    }

    /** Returns the address that the server is bound to. */
    public Endpoint endpoint() {
        return options.listen().withPort(server.getBindPort());
    }

    @Override
    public void close() throws IOException {
        HttpServers.stop(server);
        timers.shutdownNow();
        journal.close();
    }

    private void routes(Chain chain) throws Exception {
        chain.prefix("plantainshunt", node -> node.get("health", reports::health)
                        .get("load", reports::load)
                        .delete("calls/:id", this::cancel))
                .prefix("control", control -> control.all(this::control))
                .all(this::receive);
    }

    private void receive(Context context) {
        String kind = context.getRequest().getPath().split("/", 2)[0];
        if (!serviceTimes.hasKind(kind)) {
            context.getResponse().status(STATUS_NOT_FOUND).send("unknown kind\n");
            return;
        }
        context.getRequest().getBody().then(body -> handleRequest(context, kind));
    }

    private void handleRequest(Context context, String kind) {
        Headers headers = context.getRequest().getHeaders();
        RequestIdentity identity = new RequestIdentity(
                sequence.incrementAndGet(),
                header(headers, HeaderNames.REQUEST_ID),
                kind,
                header(headers, HeaderNames.WORK_ID),
                header(headers, HeaderNames.ATTEMPT_ID));
        OptionalLong deadline = deadline(headers);
        long now = System.nanoTime();
        ReceivedRequest request =
                new ReceivedRequest(identity, deadline.isPresent() ? now + deadline.getAsLong() : Long.MAX_VALUE);
        journal.received(new RequestRecord(
                options.name(),
                process,
                identity.sequence(),
                identity.requestId(),
                kind,
                identity.workId(),
                identity.attemptId(),
                reports.draining(),
                System.currentTimeMillis(),
                0,
                0,
                RequestState.RECEIVED.label()));
        activeRequests.put(callId(headers), request);
        ScheduledFuture<?> timer = deadline.isEmpty()
                ? null
                : timers.schedule(
                        () -> request.cancel(RequestState.DEADLINE_PASSED), deadline.getAsLong(), TimeUnit.NANOSECONDS);
        Promise.<SlotPool.Admission>async(downstream -> slotPool.acquire(request, downstream::success))
                .flatMap(admission ->
                        admission == SlotPool.Admission.GRANTED ? runInSlot(context, request) : notAdmitted(admission))
                .then(state -> {
                    if (timer != null) {
                        timer.cancel(false);
                    }
                    respond(context, request, state);
                });
    }

    private static Promise<RequestState> notAdmitted(SlotPool.Admission admission) {
        return Promise.value(admission == SlotPool.Admission.SHED ? RequestState.SHED : RequestState.CANCELLED);
    }

    /** Waits half of the service time before the outbound calls, and the other half after them if none failed. */
    private Promise<RequestState> runInSlot(Context context, ReceivedRequest request) {
        reports.loadChanged();
        if (request.cancelReason().isPresent()) {
            return Promise.value(RequestState.CANCELLED).next(state -> releaseSlot());
        }
        journal.changed(request.identity().sequence(), record -> record.started(System.currentTimeMillis()));
        long half =
                serviceTimes.draw(request.identity().kind(), System.nanoTime()).orElseThrow() / 2;
        return delay(request, half)
                .flatMap(unused -> makeCalls(context, request))
                .flatMap(failed -> delay(request, failed.isPresent() ? 0 : half).map(unused -> failed))
                .map(failed -> {
                    failed.ifPresent(call -> context.getResponse().getHeaders().set(HeaderNames.FAILED_CALL, call));
                    return failed.isPresent() ? RequestState.CALL_FAILED : RequestState.ANSWERED;
                })
                .next(state -> releaseSlot());
    }

    private void releaseSlot() {
        slotPool.release();
        reports.loadChanged();
    }

    private Promise<Boolean> delay(ReceivedRequest request, long nanos) {
        return Promise.async(downstream -> {
            Runnable wake = request.waitFor(() -> downstream.success(true));
            timers.schedule(wake, nanos, TimeUnit.NANOSECONDS);
        });
    }

    private Promise<Optional<String>> makeCalls(Context context, ReceivedRequest request) {
        if (outbound.isEmpty() || request.cancelReason().isPresent()) {
            return Promise.value(Optional.empty());
        }
        Headers headers = context.getRequest().getHeaders();
        OutboundCalls.PropagatedHeaders propagated = new OutboundCalls.PropagatedHeaders(
                Optional.ofNullable(headers.get(HeaderNames.CONTEXT)),
                Optional.ofNullable(headers.get(HeaderNames.TRACE_PARENT)),
                Optional.ofNullable(headers.get(HeaderNames.REQUEST_ID)),
                process);
        return outbound.get().callAll(request, propagated);
    }

    private void respond(Context context, ReceivedRequest request, RequestState lastState) {
        RequestState state = request.finish(lastState);
        RequestIdentity identity = request.identity();
        activeRequests.remove(callId(context.getRequest().getHeaders()), request);
        journal.changed(identity.sequence(), record -> record.ended(System.currentTimeMillis(), state));
        context.getResponse().status(state.status());
        if (state == RequestState.SHED) {
            context.getResponse().getHeaders().set(HeaderNames.SHED, "1").set(HeaderNames.RETRY_AFTER, "1");
        }
        if (state != RequestState.ANSWERED) {
            context.getResponse().send(state.label() + "\n");
            return;
        }
        byte[] body = ResponseBody.write(
                identity.requestId(), identity.workId(), identity.kind(), options.name(), fillerSize(context));
        context.getResponse().send("application/octet-stream", body);
    }

    private void cancel(Context context) {
        ReceivedRequest request = activeRequests.get(context.getPathTokens().get("id"));
        if (request == null) {
            context.getResponse().status(STATUS_NOT_FOUND).send("no such call\n");
            return;
        }
        request.cancel(RequestState.CANCELLED);
        context.getResponse().send("ok\n");
    }

    private void control(Context context) {
        String command = context.getPathBinding().getPastBinding();
        try {
            context.getResponse().send(runCommand(command, context));
        } catch (IllegalArgumentException failure) {
            context.getResponse().status(STATUS_BAD_REQUEST).send(failure.getMessage() + "\n");
        }
    }

    private String runCommand(String command, Context context) {
        Map<String, String> query = context.getRequest().getQueryParams();
        switch (command) {
            case "drain" -> reports.setHealth(ServerReports.Health.DRAINING);
            case "health" -> reports.setHealth(
                    ServerReports.Health.valueOf(query.getOrDefault("state", "").toUpperCase(Locale.ROOT)));
            case "slow" -> serviceTimes.setSlowFactor(Double.parseDouble(query.getOrDefault("factor", "1")));
            case "lag" -> reports.setLagMilliseconds(Long.parseLong(query.getOrDefault("milliseconds", "0")));
            case "record" -> {
                context.getResponse().getHeaders().set("X-Forgotten", Long.toString(journal.evicted()));
                return journal.lines();
            }
            case "counts" -> {
                return "{\"received\":" + sequence.get() + ",\"running\":" + slotPool.busy() + ",\"waiting\":"
                        + slotPool.waiting() + "}\n";
            }
            default -> throw new IllegalArgumentException("unknown control: " + command);
        }
        return "ok\n";
    }

    /**
     * Returns the id by which a request is cancelled: the call id, which differs between the calls of one request, or
     * the request id if the caller connects without a node and sends no call id.
     */
    private static String callId(Headers headers) {
        String call = header(headers, HeaderNames.CALL);
        return call.isEmpty() ? header(headers, HeaderNames.REQUEST_ID) : call;
    }

    private static OptionalLong deadline(Headers headers) {
        String text = headers.get(HeaderNames.DEADLINE);
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(
                    Duration.ofMillis(Long.parseLong(text.strip())).toNanos());
        } catch (NumberFormatException failure) {
            return OptionalLong.empty();
        }
    }

    private static int fillerSize(Context context) {
        String text = context.getRequest().getQueryParams().getOrDefault("size", "0");
        try {
            return Math.max(0, Math.min(Integer.parseInt(text), MAX_FILLER_BYTES));
        } catch (NumberFormatException failure) {
            return 0;
        }
    }

    private static String header(Headers headers, String name) {
        String value = headers.get(name);
        return value == null ? "" : value;
    }
}
