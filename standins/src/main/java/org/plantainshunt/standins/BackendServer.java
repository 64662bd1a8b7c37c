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
 * Stands in for a backend server: runs requests in a bounded number of slots for drawn service times, makes its own
 * calls, and obeys deadlines and cancellation.
 *
 * <p>The paths {@code /plantainshunt} and {@code /control} are not kinds of requests. Safe for use by any thread.
 */
public final class BackendServer implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int LARGEST_ANSWER = 2 * 1024 * 1024;

    private final BackendServerOptions options;
    private final String process = Long.toHexString(ThreadLocalRandom.current().nextLong() & Long.MAX_VALUE);
    private final SlotPool slots;
    private final ServiceTimes serviceTimes;
    private final RequestJournal journal;
    private final Optional<OutboundCalls> outbound;
    private final ScheduledExecutorService timers;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<String, Work> running = new ConcurrentHashMap<>();
    private final ServerReports reports;
    private final RatpackServer server;

    /**
     * Starts the server.
     *
     * @throws Exception if the address cannot be bound or the record file cannot be opened
     */
    BackendServer(BackendServerOptions options) throws Exception {
        this.options = options;
        this.slots = new SlotPool(options.slots(), options.queue());
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
        this.reports = new ServerReports(options.slots(), options.reportLagMilliseconds(), slots::busy);
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
        if (!serviceTimes.knows(kind)) {
            context.getResponse().status(STATUS_NOT_FOUND).send("unknown kind\n");
            return;
        }
        context.getRequest().getBody().then(body -> begin(context, kind));
    }

    private void begin(Context context, String kind) {
        Headers headers = context.getRequest().getHeaders();
        WorkIdentity identity = new WorkIdentity(
                sequence.incrementAndGet(),
                header(headers, HeaderNames.REQUEST_ID),
                kind,
                header(headers, HeaderNames.WORK_ID),
                header(headers, HeaderNames.ATTEMPT_ID));
        OptionalLong deadline = deadline(headers);
        long now = System.nanoTime();
        Work work = new Work(identity, deadline.isPresent() ? now + deadline.getAsLong() : Long.MAX_VALUE);
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
                WorkState.RECEIVED.label()));
        running.put(callId(headers), work);
        ScheduledFuture<?> timer = deadline.isEmpty()
                ? null
                : timers.schedule(
                        () -> work.giveUp(WorkState.DEADLINE_PASSED), deadline.getAsLong(), TimeUnit.NANOSECONDS);
        Promise.<SlotPool.Entry>async(downstream -> slots.enter(work, downstream::success))
                .flatMap(entry -> entry == SlotPool.Entry.SLOT ? runInSlot(context, work) : refused(entry))
                .then(state -> {
                    if (timer != null) {
                        timer.cancel(false);
                    }
                    answer(context, work, state);
                });
    }

    private static Promise<WorkState> refused(SlotPool.Entry entry) {
        return Promise.value(entry == SlotPool.Entry.SHED ? WorkState.SHED : WorkState.CANCELLED);
    }

    /** Spends half of the service time before the outbound calls and half after them. */
    private Promise<WorkState> runInSlot(Context context, Work work) {
        reports.loadChanged();
        if (work.stopped().isPresent()) {
            return Promise.value(WorkState.CANCELLED).next(state -> leaveSlot());
        }
        journal.changed(work.identity().sequence(), record -> record.started(System.currentTimeMillis()));
        long half = serviceTimes.draw(work.identity().kind(), System.nanoTime()).orElseThrow() / 2;
        return pause(work, half)
                .flatMap(unused -> makeCalls(context, work))
                .flatMap(failed -> pause(work, failed.isPresent() ? 0 : half).map(unused -> failed))
                .map(failed -> {
                    failed.ifPresent(call -> context.getResponse().getHeaders().set(HeaderNames.FAILED_CALL, call));
                    return failed.isPresent() ? WorkState.CALL_FAILED : WorkState.ANSWERED;
                })
                .next(state -> leaveSlot());
    }

    private void leaveSlot() {
        slots.leave();
        reports.loadChanged();
    }

    private Promise<Boolean> pause(Work work, long nanos) {
        return Promise.async(downstream -> {
            Runnable wake = work.waitFor(() -> downstream.success(true));
            timers.schedule(wake, nanos, TimeUnit.NANOSECONDS);
        });
    }

    private Promise<Optional<String>> makeCalls(Context context, Work work) {
        if (outbound.isEmpty() || work.stopped().isPresent()) {
            return Promise.value(Optional.empty());
        }
        Headers headers = context.getRequest().getHeaders();
        OutboundCalls.PassedOn passedOn = new OutboundCalls.PassedOn(
                Optional.ofNullable(headers.get(HeaderNames.CONTEXT)),
                Optional.ofNullable(headers.get(HeaderNames.TRACE_PARENT)),
                Optional.ofNullable(headers.get(HeaderNames.REQUEST_ID)),
                process);
        return outbound.get().make(work, passedOn);
    }

    private void answer(Context context, Work work, WorkState reached) {
        WorkState state = work.finish(reached);
        WorkIdentity identity = work.identity();
        running.remove(callId(context.getRequest().getHeaders()), work);
        journal.changed(identity.sequence(), record -> record.ended(System.currentTimeMillis(), state));
        context.getResponse().status(state.status());
        if (state == WorkState.SHED) {
            context.getResponse().getHeaders().set(HeaderNames.SHED, "1").set(HeaderNames.RETRY_AFTER, "1");
        }
        if (state != WorkState.ANSWERED) {
            context.getResponse().send(state.label() + "\n");
            return;
        }
        byte[] body = AnswerBody.write(
                identity.requestId(), identity.workId(), identity.kind(), options.name(), size(context));
        context.getResponse().send("application/octet-stream", body);
    }

    private void cancel(Context context) {
        Work work = running.get(context.getPathTokens().get("id"));
        if (work == null) {
            context.getResponse().status(STATUS_NOT_FOUND).send("no such call\n");
            return;
        }
        work.giveUp(WorkState.CANCELLED);
        context.getResponse().send("ok\n");
    }

    private void control(Context context) {
        String name = context.getPathBinding().getPastBinding();
        try {
            context.getResponse().send(controlled(name, context));
        } catch (IllegalArgumentException failure) {
            context.getResponse().status(STATUS_BAD_REQUEST).send(failure.getMessage() + "\n");
        }
    }

    private String controlled(String name, Context context) {
        Map<String, String> query = context.getRequest().getQueryParams();
        switch (name) {
            case "drain" -> reports.setHealth(ServerReports.Health.DRAINING);
            case "health" -> reports.setHealth(
                    ServerReports.Health.valueOf(query.getOrDefault("state", "").toUpperCase(Locale.ROOT)));
            case "slow" -> serviceTimes.slowBy(Double.parseDouble(query.getOrDefault("factor", "1")));
            case "lag" -> reports.setLagMilliseconds(Long.parseLong(query.getOrDefault("milliseconds", "0")));
            case "record" -> {
                context.getResponse().getHeaders().set("X-Forgotten", Long.toString(journal.forgotten()));
                return journal.lines();
            }
            case "counts" -> {
                return "{\"received\":" + sequence.get() + ",\"running\":" + slots.busy() + ",\"waiting\":"
                        + slots.waiting() + "}\n";
            }
            default -> throw new IllegalArgumentException("unknown control: " + name);
        }
        return "ok\n";
    }

    /** Returns the id for cancellation: calls of one request differ in it, and callers without a node have none. */
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

    private static int size(Context context) {
        String text = context.getRequest().getQueryParams().getOrDefault("size", "0");
        try {
            return Math.max(0, Math.min(Integer.parseInt(text), LARGEST_ANSWER));
        } catch (NumberFormatException failure) {
            return 0;
        }
    }

    private static String header(Headers headers, String name) {
        String value = headers.get(name);
        return value == null ? "" : value;
    }
}
