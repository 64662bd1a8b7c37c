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
 * Guards configuration-in-force: an accepted document is in force everywhere within 9 s and never reverts.
 *
 * <p>The system property {@code plantainshunt.fleet.vms} sets the VMs for each of the two services: 4 by default, 8 for
 * a fleet of 16 nodes.
 */
class ConfigurationInForceTest {
    /** The bound of section 1.2 of the design. */
    private static final Duration BOUND = Duration.ofSeconds(9);
    /** More than two polls of the platform by each node of a small fleet. */
    private static final Duration SOME_POLLS = Duration.ofMillis(2_500);

    private static final int VMS = Integer.getInteger("plantainshunt.fleet.vms", 4);

    private static Fleet fleet;
    private static StatusWatch watch;
    private static long version = 1;

    @BeforeAll
    static void startFleet() throws Exception {
        FleetPlan plan = FleetPlan.small(FleetTesting.document()).withVmsPerService(VMS);
        fleet = Fleet.start(plan, FleetTesting.directory("configuration"));
        fleet.awaitReady(FleetTesting.START);
        watch = new StatusWatch(fleet.vms());
    }

    @AfterAll
    static void stopFleet() throws Exception {
        if (watch != null) {
            watch.close();
        }
        if (fleet != null) {
            fleet.close();
        }
    }

    @AfterEach
    void noNodeWentBack() {
        assertEquals(List.of(), List.copyOf(watch.reversions()));
    }

    /** Guards against distribution that depends on single nodes. */
    @Test
    void isInForceEverywhereWhileNodesAreKilled() throws Exception {
        byte[] next = next("");
        List<FleetVm> living = new ArrayList<>(fleet.vms());
        // The first VM is a seed, the last one is not.
        List<FleetVm> killed = List.of(living.remove(0), living.remove(living.size() - 1));
        long start = System.nanoTime();
        fleet.platform().publish(next);
        for (FleetVm vm : killed) {
            Thread.sleep(300);
            vm.killNode();
        }
        awaitEverywhere(living, next, start);
        for (FleetVm vm : killed) {
            vm.startNode();
        }
        fleet.awaitReady(FleetTesting.START);
        assertTrue(watch.all(fleet.vms(), versionOf(next)), "a restarted node is ready with another document");
    }

    /** Guards against a node that takes an older document from a stale platform, at work or after its restart. */
    @Test
    void neverRevertsWhileThePlatformServesAnOlderDocumentOrNone() throws Exception {
        byte[] older = next("");
        publishEverywhere(older);
        byte[] newer = next("");
        publishEverywhere(newer);
        fleet.platform().publish(older);
        Thread.sleep(SOME_POLLS.toMillis());
        assertTrue(watch.all(fleet.vms(), versionOf(newer)), "a node follows the older document");
        List<FleetVm> restarted =
                List.of(fleet.vms().get(0), fleet.vms().get(fleet.vms().size() - 1));
        restartNodes(restarted);
        assertTrue(watch.all(fleet.vms(), versionOf(newer)), "a node restarted into the older document");
        fleet.platform().setMode("down");
        try {
            restartNodes(List.of(fleet.vms().get(1)));
            assertTrue(watch.all(fleet.vms(), versionOf(newer)), "a node restarted into another document");
        } finally {
            fleet.platform().setMode("ok");
        }
    }

    /** Guards against a fleet that stays split over two documents with the same number. */
    @Test
    void settlesOnOneOfTwoDocumentsWithTheSameNumber() throws Exception {
        byte[] one = next("# one\n");
        byte[] other = FleetTesting.documentText(version).concat("# other\n").getBytes(StandardCharsets.UTF_8);
        boolean oneIsHigher = versionOf(one).compareTo(versionOf(other)) > 0;
        byte[] higher = oneIsHigher ? one : other;
        byte[] lower = oneIsHigher ? other : one;
        fleet.platform().publish(higher);
        FleetTesting.await("a node has the first document", BOUND, () -> {
            for (FleetVm vm : fleet.vms()) {
                if (watch.all(List.of(vm), versionOf(higher))) {
                    return true;
                }
            }
            return false;
        });
        long start = System.nanoTime();
        fleet.platform().publish(lower);
        awaitEverywhere(fleet.vms(), higher, start);
        Thread.sleep(SOME_POLLS.toMillis());
        assertTrue(watch.all(fleet.vms(), versionOf(higher)), "a node took the lower document later");
    }

    /** Guards against a node that accepts a part of an invalid document, or none after it. */
    @Test
    void refusesAnInvalidDocumentEverywhereAndTakesTheNext() throws Exception {
        byte[] valid = next("");
        publishEverywhere(valid);
        String broken = new String(next(""), StandardCharsets.UTF_8).replace("slots = 8", "slots = many");
        fleet.platform().publish(broken.getBytes(StandardCharsets.UTF_8));
        FleetTesting.await("every node reports the rejection", BOUND, () -> {
            for (FleetVm vm : fleet.vms()) {
                if (watch.rejection(vm).isEmpty()) {
                    return false;
                }
            }
            return true;
        });
        assertTrue(watch.all(fleet.vms(), versionOf(valid)), "the document in force changed");
        publishEverywhere(next(""));
        assertFalse(watch.version(fleet.vms().get(0)).isEmpty());
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
                expected + " in force at " + nodes.size() + " nodes", left, () -> watch.all(nodes, expected));
        System.out.printf(
                "version %d is in force at %d nodes after %d ms%n",
                expected.number(), nodes.size(), (System.nanoTime() - start) / 1_000_000);
    }

    private static void restartNodes(List<FleetVm> vms) throws Exception {
        for (FleetVm vm : vms) {
            vm.killNode();
            vm.startNode();
        }
        fleet.awaitReady(FleetTesting.START);
    }

    /** Returns the document with the next number and a remark at its end. */
    private static byte[] next(String remark) throws IOException {
        version++;
        return FleetTesting.documentText(version).concat(remark).getBytes(StandardCharsets.UTF_8);
    }

    private static DocumentVersion versionOf(byte[] document) throws InvalidDocumentException {
        return Document.parse(document).version();
    }
}
