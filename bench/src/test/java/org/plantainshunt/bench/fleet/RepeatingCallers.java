package org.plantainshunt.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.plantainshunt.standins.AttemptRecord;
import org.plantainshunt.standins.Endpoint;
import org.plantainshunt.standins.KindLoad;

/**
 * Callers that send each ticket several times through random nodes, sometimes concurrently.
 *
 * <p>A caller requests a new ticket for its work only after a node has reported "not run", as the protocol allows.
 * Safe for use by any thread.
 */
final class RepeatingCallers implements AutoCloseable {
    private static final int MAX_TICKETS_PER_WORK = 3;
    private static final int WORK_PER_LATE_REPEAT = 3;
    private static final int FURTHER_SENDS_BOUND = 3;
    private static final int MAX_PAUSE_MILLISECONDS = 400;

    private final RecordingCaller caller = new RecordingCaller();
    private final List<Endpoint> entries;
    private final List<KindLoad> kinds;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicLong workCount = new AtomicLong();
    private final Queue<SentTicket> delivered = new ConcurrentLinkedQueue<>();
    private final List<CompletableFuture<Void>> running = new ArrayList<>();
    private volatile boolean stopped;

    RepeatingCallers(List<Endpoint> entries, List<KindLoad> kinds) {
        this.entries = List.copyOf(entries);
        this.kinds = List.copyOf(kinds);
    }

    RecordingCaller caller() {
        return caller;
    }

    /** Starts callers, each with its own random sequence. */
    void start(int callers, long seed) {
        SplittableRandom seeds = new SplittableRandom(seed);
        for (int index = 0; index < callers; index++) {
            SplittableRandom random = seeds.split();
            running.add(CompletableFuture.runAsync(() -> repeat(random), threads));
        }
    }

    /** Stops the callers once each has finished its current work. */
    void finish() throws Exception {
        stopped = true;
        for (CompletableFuture<Void> each : running) {
            each.get(60, TimeUnit.SECONDS);
        }
    }

    /** Repeats random tickets that were delivered earlier, each through a random node. */
    void repeatEarlier(int count, long seed) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        for (int index = 0; index < count; index++) {
            repeatEarlier(random);
        }
    }

    @Override
    public void close() {
        stopped = true;
        threads.shutdownNow();
    }

    private void repeat(SplittableRandom random) {
        try {
            while (!stopped) {
                KindLoad kind = kinds.get(random.nextInt(kinds.size()));
                runWork(kind, "w" + workCount.incrementAndGet(), random);
                if (random.nextInt(WORK_PER_LATE_REPEAT) == 0) {
                    repeatEarlier(random);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void repeatEarlier(SplittableRandom random) throws InterruptedException {
        List<SentTicket> earlier = List.copyOf(delivered);
        if (!earlier.isEmpty()) {
            deliver(earlier.get(random.nextInt(earlier.size())), random);
        }
    }

    private void runWork(KindLoad kind, String workId, SplittableRandom random) throws InterruptedException {
        for (int round = 0; round < MAX_TICKETS_PER_WORK; round++) {
            RecordingCaller.Reply ticketReply = caller.send(randomEntry(random), kind, workId, "");
            if (ticketReply.freshTicket().isEmpty()) {
                Thread.sleep(random.nextInt(MAX_PAUSE_MILLISECONDS));
                continue;
            }
            SentTicket ticket =
                    new SentTicket(kind, workId, ticketReply.freshTicket().get());
            delivered.add(ticket);
            if (!neverRuns(ticket, random)) {
                return;
            }
        }
    }

    /** Delivers a ticket several times; returns whether a node reported that it will never run. */
    private boolean neverRuns(SentTicket ticket, SplittableRandom random) throws InterruptedException {
        Endpoint first = randomEntry(random);
        CompletableFuture<RecordingCaller.Reply> concurrent =
                CompletableFuture.supplyAsync(() -> sendUnchecked(first, ticket), threads);
        boolean never = deliver(ticket, random);
        int further = random.nextInt(FURTHER_SENDS_BOUND);
        for (int index = 0; index < further; index++) {
            Thread.sleep(random.nextInt(MAX_PAUSE_MILLISECONDS));
            never |= deliver(ticket, random);
        }
        return never | concurrent.join().nodeSaysNotRun();
    }

    private boolean deliver(SentTicket ticket, SplittableRandom random) throws InterruptedException {
        return caller.send(randomEntry(random), ticket.kind, ticket.workId, ticket.ticket)
                .nodeSaysNotRun();
    }

    private RecordingCaller.Reply sendUnchecked(Endpoint entry, SentTicket ticket) {
        try {
            return caller.send(entry, ticket.kind, ticket.workId, ticket.ticket);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", interrupted);
        }
    }

    private Endpoint randomEntry(SplittableRandom random) {
        return entries.get(random.nextInt(entries.size()));
    }

    /** Returns all attempts so far. */
    List<AttemptRecord> attempts() {
        return List.copyOf(caller.attempts());
    }

    private record SentTicket(KindLoad kind, String workId, String ticket) {}
}
