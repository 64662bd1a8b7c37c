package org.plantainshunt.membership;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainshunt.configuration.DocumentVersion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that a document is in force on all nodes within 9 s and never reverts, at no more than 4 KB/s per node. */
class DocumentGossipTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double LIMIT_SECONDS = 9;
    private static final double LIMIT_BYTES = 4_000;
    private static final long SEED = 11;

    /** The time between two changes at 7,500 a day, in nanoseconds. */
    private static final long BETWEEN_CHANGES = TimeUnit.DAYS.toNanos(1) / 7_500;

    @ParameterizedTest
    @ValueSource(ints = {16, 64, 1_600})
    void spreadsInTimeWithOneStaleReplica(int size) {
        GossipModel model = new GossipModel(size, SEED);
        double slowest = 0;
        for (int change = 2; change <= 21; change++) {
            slowest = Math.max(slowest, change(model, change));
        }
        System.out.printf(
                "%d nodes, 20 changes, one of three replicas stale: last node after %.2f s; %.0f B/s on average, "
                        + "%.0f B/s at the busiest node; %.1f reads/s%n",
                size, slowest, model.averageBytesPerSecond(), model.busiestBytesPerSecond(), model.readsPerSecond());
        assertTrue(slowest <= LIMIT_SECONDS, "last node after " + slowest);
        assertTrue(model.busiestBytesPerSecond() <= LIMIT_BYTES, "bytes a second " + model.busiestBytesPerSecond());
        assertTrue(model.readsPerSecond() <= 60, "reads a second " + model.readsPerSecond());
    }

    @ParameterizedTest
    @ValueSource(ints = {16, 64, 1_600})
    void spreadsInTimeWhileThirdOfNodesDies(int size) {
        GossipModel model = new GossipModel(size, SEED);
        double slowest = change(model, 2);
        model.publish(new DocumentVersion(3, "a"), 0, 1);
        model.run(SECOND / 4);
        model.kill(0, size / 3);
        slowest = Math.max(slowest, 0.25 + seconds(model, new DocumentVersion(3, "a")));
        for (int change = 4; change <= 13; change++) {
            slowest = Math.max(slowest, change(model, change));
        }
        System.out.printf("%d nodes, a third dies during a change: last node after %.2f s%n", size, slowest);
        assertTrue(slowest <= LIMIT_SECONDS, "last node after " + slowest);
    }

    @ParameterizedTest
    @ValueSource(ints = {16, 64, 1_600})
    void catchesUpAfterPartitionAndAgreesOnEqualNumbers(int size) {
        GossipModel model = new GossipModel(size, SEED);
        model.split(size / 2);
        model.publish(new DocumentVersion(2, "a"), 0, 1, 2);
        model.run(30 * SECOND);
        model.split(0);
        double healed = seconds(model, new DocumentVersion(2, "a"));
        model.publish(new DocumentVersion(3, "a"), 0, 2);
        model.publish(new DocumentVersion(3, "b"), 1);
        double agreed = seconds(model, new DocumentVersion(3, "b"));
        model.run(20 * SECOND);
        assertEquals(0, seconds(model, new DocumentVersion(3, "b")));
        System.out.printf(
                "%d nodes: after a partition heals last node after %.2f s; of two documents with one number, "
                        + "the same at all nodes after %.2f s%n",
                size, healed, agreed);
        assertTrue(healed <= LIMIT_SECONDS, "healed after " + healed);
        assertTrue(agreed <= LIMIT_SECONDS, "agreed after " + agreed);
    }

    /** A document must not be requested from many peers at once, nor be lost if the requested peer fails. */
    @Test
    void requestsFromOnePeerAndFromAnotherAfterTimeout() {
        DocumentGossip gossip = new DocumentGossip(new Random(SEED));
        DocumentVersion two = new DocumentVersion(2, "a");
        assertTrue(gossip.wants(two, 0));
        gossip.requested(two, 0);
        assertFalse(gossip.wants(two, SECOND - 1));
        assertTrue(gossip.wants(new DocumentVersion(3, "a"), SECOND - 1));
        assertTrue(gossip.wants(two, SECOND));
        assertEquals(4, gossip.accepted(two, List.of("a", "b", "c", "d", "e")).size());
        assertFalse(gossip.wants(two, 9 * SECOND));
        assertEquals(List.of(), gossip.accepted(new DocumentVersion(1, "b"), List.of("a")));
        assertEquals(two, gossip.current().orElseThrow());
    }

    /** Publishes a change at two of three replicas and returns the seconds until the last node has it. */
    private static double change(GossipModel model, int number) {
        long start = model.now();
        DocumentVersion version = new DocumentVersion(number, "a");
        model.publish(version, 0, 1);
        double seconds = seconds(model, version);
        model.run(Math.max(0, start + BETWEEN_CHANGES - model.now()));
        return seconds;
    }

    private static double seconds(GossipModel model, DocumentVersion version) {
        double seconds = model.secondsUntil(version, 60);
        assertTrue(seconds >= 0, "not everywhere after 60 s");
        return seconds;
    }
}
