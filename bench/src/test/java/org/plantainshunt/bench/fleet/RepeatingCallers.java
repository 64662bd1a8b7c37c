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
 * Callers that send each ticket several times through random nodes, some of the times at once.
 *
 * <p>A caller takes a new ticket for its work only after a node has said "not run", as an honest caller may. Safe for
 * use by any thread.
 */
final class RepeatingCallers implements AutoCloseable {
    private static final int TICKETS_PER_WORK = 3;
    private static final int WORKS_PER_LATE_REPEAT = 3;
    private static final int MOST_FURTHER_SENDS = 3;
    private static final int LONGEST_PAUSE_MILLISECONDS = 400;

    private final RecordingCaller caller = new RecordingCaller();
    private final List<Endpoint> entries;
    private final List<KindLoad> kinds;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicLong works = new AtomicLong();
    private final Queue<Sent> delivered = new ConcurrentLinkedQueue<>();
    private final List<CompletableFuture<Void>> running = new ArrayList<>();
    private volatile boolean stopped;

    RepeatingCallers(List<Endpoint> entries, List<KindLoad> kinds) {
        this.entries = List.copyOf(entries);
        this.kinds = List.copyOf(kinds);
    }

    RecordingCaller caller() {
        return caller;
    }

    /** Starts callers, each with a random sequence of its own. */
    void start(int callers, long seed) {
        SplittableRandom seeds = new SplittableRandom(seed);
        for (int index = 0; index < callers; index++) {
            SplittableRandom random = seeds.split();
            running.add(CompletableFuture.runAsync(() -> repeat(random), threads));
        }
    }

    /** Lets the callers finish the works that they have begun. */
    void finish() throws Exception {
        stopped = true;
        for (CompletableFuture<Void> each : running) {
            each.get(60, TimeUnit.SECONDS);
        }
    }

    /** Sends some of the tickets delivered so far once more, each through a random node. */
    void repeatEarlier(int most, long seed) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        for (int index = 0; index < most; index++) {
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
                work(kind, "w" + works.incrementAndGet(), random);
                if (random.nextInt(WORKS_PER_LATE_REPEAT) == 0) {
                    repeatEarlier(random);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void repeatEarlier(SplittableRandom random) throws InterruptedException {
        List<Sent> earlier = List.copyOf(delivered);
        if (!earlier.isEmpty()) {
            deliver(earlier.get(random.nextInt(earlier.size())), random);
        }
    }

    private void work(KindLoad kind, String workId, SplittableRandom random) throws InterruptedException {
        for (int round = 0; round < TICKETS_PER_WORK; round++) {
            RecordingCaller.Told asked = caller.send(draw(random), kind, workId, "");
            if (asked.freshTicket().isEmpty()) {
                Thread.sleep(random.nextInt(LONGEST_PAUSE_MILLISECONDS));
                continue;
            }
            Sent ticket = new Sent(kind, workId, asked.freshTicket().get());
            delivered.add(ticket);
            if (!neverRuns(ticket, random)) {
                return;
            }
        }
    }

    /** Delivers a ticket several times; returns whether a node said that it will never run. */
    private boolean neverRuns(Sent ticket, SplittableRandom random) throws InterruptedException {
        Endpoint first = draw(random);
        CompletableFuture<RecordingCaller.Told> atOnce =
                CompletableFuture.supplyAsync(() -> sendUnchecked(first, ticket), threads);
        boolean never = deliver(ticket, random);
        int further = random.nextInt(MOST_FURTHER_SENDS);
        for (int index = 0; index < further; index++) {
            Thread.sleep(random.nextInt(LONGEST_PAUSE_MILLISECONDS));
            never |= deliver(ticket, random);
        }
        return never | atOnce.join().nodeSaysNotRun();
    }

    private boolean deliver(Sent ticket, SplittableRandom random) throws InterruptedException {
        return caller.send(draw(random), ticket.kind, ticket.workId, ticket.ticket)
                .nodeSaysNotRun();
    }

    private RecordingCaller.Told sendUnchecked(Endpoint entry, Sent ticket) {
        try {
            return caller.send(entry, ticket.kind, ticket.workId, ticket.ticket);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", interrupted);
        }
    }

    private Endpoint draw(SplittableRandom random) {
        return entries.get(random.nextInt(entries.size()));
    }

    /** Returns all attempts so far. */
    List<AttemptRecord> attempts() {
        return List.copyOf(caller.attempts());
    }

    private record Sent(KindLoad kind, String workId, String ticket) {}
}
