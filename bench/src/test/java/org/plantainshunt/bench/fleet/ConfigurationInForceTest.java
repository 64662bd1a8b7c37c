package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.DocumentVersion;
import org.plantainshunt.configuration.InvalidDocumentException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Checks that an accepted document is in force at every node within 9 s, and that no node reverts to an older one.
 *
 * <p>The system property {@code plantainshunt.fleet.vms} sets the number of VMs of each of the two services: 4 by
 * default, 8 for a fleet of 16 nodes.
 */
class ConfigurationInForceTest {
    /** The required time within which an accepted document is in force at every node. */
    private static final Duration BOUND = Duration.ofSeconds(9);
    /** Long enough for each node of a small fleet to poll the platform twice, at intervals of 0.8 to 1.2 s. */
    private static final Duration TWO_PLATFORM_POLLS = Duration.ofMillis(2_500);

    private static final int VMS = Integer.getInteger("plantainshunt.fleet.vms", 4);

    private static Fleet fleet;
    private static StatusMonitor monitor;
    private static long version = 1;

    @BeforeAll
    static void startFleet() throws Exception {
        FleetPlan plan = FleetPlan.small(FleetTesting.document()).withVmsPerService(VMS);
        fleet = Fleet.start(plan, FleetTesting.directory("configuration"));
        fleet.awaitReady(FleetTesting.START_TIMEOUT);
        monitor = new StatusMonitor(fleet.vms());
    }

    @AfterAll
    static void stopFleet() throws Exception {
        if (monitor != null) {
            monitor.close();
        }
        if (fleet != null) {
            fleet.close();
        }
    }

    @AfterEach
    void noNodeReverted() {
        assertEquals(List.of(), List.copyOf(monitor.reversions()));
    }

    /** Guards against distribution that depends on individual nodes: a seed and another node are killed meanwhile. */
    @Test
    void isInForceEverywhereWhileNodesAreKilled() throws Exception {
        byte[] next = next("");
        List<FleetVm> remaining = new ArrayList<>(fleet.vms());
        // The first VM is a seed, the last one is not.
        List<FleetVm> killed = List.of(remaining.remove(0), remaining.remove(remaining.size() - 1));
        long start = System.nanoTime();
        fleet.platform().publish(next);
        for (FleetVm vm : killed) {
            Thread.sleep(300);
            vm.killNode();
        }
        awaitEverywhere(remaining, next, start);
        for (FleetVm vm : killed) {
            vm.startNode();
        }
        fleet.awaitReady(FleetTesting.START_TIMEOUT);
        assertTrue(
                monitor.allHaveVersion(fleet.vms(), versionOf(next)),
                "a restarted node became ready with another document");
    }

    /** Guards against a node that accepts an older document from a stale platform, while running or after a restart. */
    @Test
    void neverRevertsWhileThePlatformServesAnOlderDocumentOrNone() throws Exception {
        byte[] older = next("");
        publishEverywhere(older);
        byte[] newer = next("");
        publishEverywhere(newer);
        fleet.platform().publish(older);
        Thread.sleep(TWO_PLATFORM_POLLS.toMillis());
        assertTrue(monitor.allHaveVersion(fleet.vms(), versionOf(newer)), "a node reverted to the older document");
        List<FleetVm> restarted =
                List.of(fleet.vms().get(0), fleet.vms().get(fleet.vms().size() - 1));
        restartNodes(restarted);
        assertTrue(
                monitor.allHaveVersion(fleet.vms(), versionOf(newer)),
                "a restarted node has another document than the newer one");
        fleet.platform().setMode("down");
        try {
            restartNodes(List.of(fleet.vms().get(1)));
            assertTrue(
                    monitor.allHaveVersion(fleet.vms(), versionOf(newer)),
                    "a node restarted while the platform was down has another document");
        } finally {
            fleet.platform().setMode("ok");
        }
    }

    /** Guards against a fleet that never converges if two documents have the same version number. */
    @Test
    void convergesOnOneOfTwoDocumentsWithTheSameNumber() throws Exception {
        byte[] one = next("# one\n");
        byte[] other = FleetTesting.documentText(version).concat("# other\n").getBytes(StandardCharsets.UTF_8);
        boolean oneIsHigher = versionOf(one).compareTo(versionOf(other)) > 0;
        byte[] higher = oneIsHigher ? one : other;
        byte[] lower = oneIsHigher ? other : one;
        fleet.platform().publish(higher);
        FleetTesting.await("a node has the first document", BOUND, () -> {
            for (FleetVm vm : fleet.vms()) {
                if (monitor.allHaveVersion(List.of(vm), versionOf(higher))) {
                    return true;
                }
            }
            return false;
        });
        long start = System.nanoTime();
        fleet.platform().publish(lower);
        awaitEverywhere(fleet.vms(), higher, start);
        Thread.sleep(TWO_PLATFORM_POLLS.toMillis());
        assertTrue(monitor.allHaveVersion(fleet.vms(), versionOf(higher)), "a node accepted the lower document later");
    }

    /** Guards against a node that applies part of an invalid document, or accepts no document after it. */
    @Test
    void rejectsAnInvalidDocumentEverywhereAndAcceptsTheNext() throws Exception {
        byte[] valid = next("");
        publishEverywhere(valid);
        String broken = new String(next(""), StandardCharsets.UTF_8).replace("slots = 8", "slots = many");
        fleet.platform().publish(broken.getBytes(StandardCharsets.UTF_8));
        FleetTesting.await("every node reports the rejection", BOUND, () -> {
            for (FleetVm vm : fleet.vms()) {
                if (monitor.rejection(vm).isEmpty()) {
                    return false;
                }
            }
            return true;
        });
        assertTrue(monitor.allHaveVersion(fleet.vms(), versionOf(valid)), "the document in force changed");
        publishEverywhere(next(""));
        assertFalse(monitor.version(fleet.vms().get(0)).isEmpty());
    }

    private static void publishEverywhere(byte[] document) throws Exception {
        long start = System.nanoTime();
        fleet.platform().publish(document);
        awaitEverywhere(fleet.vms(), document, start);
    }

    private static void awaitEverywhere(List<FleetVm> nodes, byte[] document, long start) throws Exception {
        DocumentVersion expected = versionOf(document);
        Duration left = BOUND.minusNanos(System.nanoTime() - start);
        FleetTesting.await(
                expected + " in force at " + nodes.size() + " nodes",
                left,
                () -> monitor.allHaveVersion(nodes, expected));
        System.out.printf(
                "version %d is in force at %d nodes after %d ms%n",
                expected.number(), nodes.size(), (System.nanoTime() - start) / 1_000_000);
    }

    private static void restartNodes(List<FleetVm> vms) throws Exception {
        for (FleetVm vm : vms) {
            vm.killNode();
            vm.startNode();
        }
        fleet.awaitReady(FleetTesting.START_TIMEOUT);
    }

    /** Returns the document with the next version number and a comment at its end. */
    private static byte[] next(String comment) throws IOException {
        version++;
        return FleetTesting.documentText(version).concat(comment).getBytes(StandardCharsets.UTF_8);
    }

    private static DocumentVersion versionOf(byte[] document) throws InvalidDocumentException {
        return Document.parse(document).version();
    }
}
