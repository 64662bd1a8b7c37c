package org.plantainshunt.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.membership.VmRegistry.Registration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class VmRegistryTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long START = 100 * SECOND;

    private final VmRegistry registry = new VmRegistry();

    @Test
    void removalCountsAtOnceWhileTheStoreAnswers() {
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1), "b", at("10.0.0.2", "b", 1)), 10, START);
        registry.removed("a", 11, START);
        assertEquals(List.of("b"), instances());
    }

    /** Guards against a process of another kind that hides the backend server on its machine. */
    @Test
    void entryOfServiceThatIsNotConfiguredHidesNoBackendServer() {
        Vm agent = new Vm("10.0.0.1", "agent", "d", "10.0.0.1", 7_001, true, OptionalInt.of(1), Optional.of("agent"));
        registry.replace(
                Map.of("a", at("10.0.0.1", "a", 1), "agent", new Registration(agent, 2), "b", at("10.0.0.2", "b", 1)),
                10,
                START);
        long before = registry.list().revision();
        registry.expire(START + VmRegistry.RENEWAL_TIME);
        registry.services(Set.of("s"));
        assertEquals(List.of("a", "b"), instances());
        assertTrue(registry.list().revision() > before, "the list does not replace the one from before");
    }

    /** Guards against removing backend servers whose registrations expired during an outage of the store. */
    @Test
    void registrationMissingAfterAnOutageMayBeRenewed() {
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1), "b", at("10.0.0.2", "b", 1)), 10, START);
        registry.storeDisconnected();
        registry.storeReconnected(START + SECOND);
        registry.replace(Map.of("b", at("10.0.0.2", "b", 1)), 14, START + SECOND);
        assertEquals(List.of("a", "b"), instances());
        registry.put("a", at("10.0.0.1", "a", 1), 15, START + SECOND);
        registry.expire(START + 10 * SECOND);
        assertEquals(List.of("a", "b"), instances());
    }

    /** Guards against new work for a backend server that left right after the store cut a watch. */
    @Test
    void removalCountsAtOnceAfterACutWatch() {
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1), "b", at("10.0.0.2", "b", 1)), 10, START);
        long cutAt = START + 3 * SECOND;
        registry.watchCut(cutAt);
        long readAt = cutAt + SECOND / 2;
        registry.storeReconnected(readAt);
        registry.replace(Map.of("b", at("10.0.0.2", "b", 1)), 11, readAt);
        assertEquals(List.of("b"), instances());
    }

    /** Guards against taking an outage that begins with a cut watch for nothing more than that. */
    @Test
    void outageThatBeginsWithACutWatchIsAnOutage() {
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1), "b", at("10.0.0.2", "b", 1)), 10, START);
        registry.watchCut(START);
        registry.storeDisconnected();
        registry.storeReconnected(START + SECOND / 2);
        registry.replace(Map.of("b", at("10.0.0.2", "b", 1)), 11, START + SECOND / 2);
        assertEquals(List.of("a", "b"), instances());
    }

    @Test
    void longTimeAfterACutWatchIsAnOutage() {
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1), "b", at("10.0.0.2", "b", 1)), 10, START);
        registry.watchCut(START);
        registry.storeReconnected(START + 5 * SECOND);
        registry.replace(Map.of("b", at("10.0.0.2", "b", 1)), 11, START + 5 * SECOND);
        assertEquals(List.of("a", "b"), instances());
    }

    /** Guards against keeping a backend server that died during the outage. */
    @Test
    void registrationThatIsNotRenewedIsRemoved() {
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1)), 10, START);
        registry.expire(START + VmRegistry.RENEWAL_TIME);
        long reconnectedAt = START + 10 * SECOND;
        registry.storeDisconnected();
        registry.storeReconnected(reconnectedAt);
        registry.replace(Map.of(), 14, reconnectedAt);
        long expiry = registry.nextExpiry().orElseThrow();
        assertEquals(reconnectedAt + VmRegistry.RENEWAL_TIME, expiry);
        registry.expire(expiry - 1);
        assertEquals(List.of("a"), instances());
        assertTrue(registry.expire(expiry));
        assertEquals(List.of(), instances());
    }

    /**
     * Guards against a node that reads the store for the first time after an outage, although its peers know the
     * backend servers.
     */
    @Test
    void registrationsThatOnlyPeersKnewMayBeRenewedToo() {
        registry.storeDisconnected();
        registry.adopt(new VmList(
                21, List.of(at("10.0.0.1", "a", 1).vm(), at("10.0.0.2", "b", 1).vm())));
        registry.storeReconnected(START);
        registry.replace(Map.of("b", at("10.0.0.2", "b", 1)), 14, START);
        assertEquals(List.of("a", "b"), instances());
        registry.expire(START + VmRegistry.RENEWAL_TIME);
        assertEquals(List.of("b"), instances());
    }

    /** Guards against using a server again that left while this node relied on others. */
    @Test
    void adoptedListReplacesWhatTheNodeKnewBefore() {
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1), "b", at("10.0.0.2", "b", 1)), 10, START);
        registry.adopt(new VmList(31, List.of(at("10.0.0.2", "b", 1).vm())));
        registry.replace(Map.of("b", at("10.0.0.2", "b", 1)), 16, START + SECOND);
        assertEquals(List.of("b"), instances());
    }

    /** Guards against a list that peers ignore because the store's revision did not change when the time expired. */
    @Test
    void listWithoutKeptRegistrationsIsNewerThanOneWithThem() {
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1)), 10, START);
        registry.storeDisconnected();
        registry.storeReconnected(START);
        registry.replace(Map.of(), 14, START);
        VmList kept = registry.list();
        registry.expire(START + VmRegistry.RENEWAL_TIME);
        assertTrue(registry.list().compareTo(kept) > 0);
    }

    /** Guards against a restarted process that removes all backend servers whose registrations have expired. */
    @Test
    void listOfProcessThatJustStartedComesBeforeThatOfOneThatRunsLonger() {
        registry.services(Set.of("s"));
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1)), 10, START);
        registry.expire(START + VmRegistry.RENEWAL_TIME);
        VmRegistry restarted = new VmRegistry();
        restarted.services(Set.of("s"));
        restarted.replace(Map.of(), 14, START + 10 * SECOND);
        assertTrue(registry.list().compareTo(restarted.list()) > 0);
        assertEquals(
                START + 10 * SECOND + VmRegistry.RENEWAL_TIME,
                restarted.nextExpiry().orElseThrow());
        restarted.expire(START + 10 * SECOND + VmRegistry.RENEWAL_TIME);
        assertTrue(registry.list().compareTo(restarted.list()) < 0);
        assertTrue(restarted.nextExpiry().isEmpty());
    }

    /** Guards against nodes that ignore a change because it came soon after their start. */
    @Test
    void changeSoonAfterTheStartMakesNewerList() {
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1)), 10, START);
        VmList first = registry.list();
        registry.put("a", at("10.0.0.1", "a", 2), 11, START);
        assertTrue(registry.list().compareTo(first) > 0);
    }

    /** Guards against nodes that ignore what the store says after it came back with lower revisions. */
    @Test
    void listOfLaterEraIsNewerThanOneOfHigherRevision() {
        registry.eraKnown(3);
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1)), 1_000, START);
        VmList before = registry.list();
        registry.eraBegan(4, START);
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1)), 7, START);
        assertTrue(registry.list().compareTo(before) > 0);
    }

    /** Guards against nodes that take the list of a process that knows only the copy for the newest. */
    @Test
    void listOfProcessThatKnowsOnlyTheCopyComesBeforeThatOfOneThatKnewMore() {
        registry.services(Set.of("s"));
        registry.eraKnown(3);
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1)), 1_000, START);
        registry.expire(START + VmRegistry.RENEWAL_TIME);
        VmRegistry restarted = new VmRegistry();
        restarted.services(Set.of("s"));
        restarted.eraKnown(4);
        restarted.replace(Map.of(), 7, START);
        assertTrue(restarted.list().compareTo(registry.list()) < 0);
    }

    /** Guards against new work for servers whose leaving the store has lost, and against refusing those that joined. */
    @Test
    void whatWasKnownHoldsWhileTheStoreIsWrittenAgain() {
        registry.replace(
                Map.of("a", at("10.0.0.1", "a", 1), "b", at("10.0.0.2", "b", 1), "c", at("10.0.0.3", "c", 1)),
                10,
                START);
        registry.removed("a", 11, START);
        registry.put("b", leaving(at("10.0.0.2", "b", 1)), 12, START);
        registry.put("d", at("10.0.0.4", "d", 1), 13, START);
        registry.expire(START + VmRegistry.RENEWAL_TIME);
        long drill = START + 10 * SECOND;
        registry.eraBegan(1, drill);
        registry.replace(
                Map.of("a", at("10.0.0.1", "a", 1), "b", at("10.0.0.2", "b", 1), "c", at("10.0.0.3", "c", 1)),
                10,
                drill);
        assertEquals(List.of("b leaving", "c", "d"), states());
        registry.put("b", at("10.0.0.2", "b", 1), 11, drill + SECOND);
        assertEquals(List.of("b leaving", "c", "d"), states());
        long expiry = drill + VmRegistry.RENEWAL_TIME;
        assertEquals(expiry, registry.nextExpiry().orElseThrow());
        VmList before = registry.list();
        registry.expire(expiry);
        assertEquals(List.of("a", "b", "c"), states());
        assertTrue(registry.list().compareTo(before) > 0);
    }

    @Test
    void whatIsWrittenAgainIsNotTakenBack() {
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1), "b", at("10.0.0.2", "b", 1)), 10, START);
        registry.removed("a", 11, START);
        registry.put("b", leaving(at("10.0.0.2", "b", 1)), 12, START);
        registry.put("d", at("10.0.0.4", "d", 1), 13, START);
        long drill = START + 10 * SECOND;
        registry.eraBegan(1, drill);
        registry.replace(Map.of("a", at("10.0.0.1", "a", 1), "b", at("10.0.0.2", "b", 1)), 10, drill);
        registry.removed("a", 11, drill + SECOND);
        registry.put("b", leaving(at("10.0.0.2", "b", 1)), 12, drill + SECOND);
        registry.put("d", at("10.0.0.4", "d", 1), 13, drill + SECOND);
        registry.expire(drill + VmRegistry.RENEWAL_TIME);
        assertEquals(List.of("b leaving", "d"), states());
    }

    /** Guards against refusing a server that started again under its id. */
    @Test
    void laterStartOfTheSameServerIsNewInAnyEra() {
        registry.replace(Map.of("a", leaving(at("10.0.0.1", "a", 1)), "b", at("10.0.0.2", "b", 1)), 10, START);
        registry.removed("b", 11, START);
        registry.eraBegan(1, START);
        registry.replace(Map.of("a", leaving(at("10.0.0.1", "a", 1))), 9, START);
        registry.put("a", at("10.0.0.1", "a", 2), 10, START);
        registry.put("b", at("10.0.0.2", "b", 2), 11, START);
        assertEquals(List.of("a", "b"), states());
    }

    /** Guards against sending to a former backend server whose registration outlives it. */
    @Test
    void serverThatStartedLastAtAnAddressIsListed() {
        registry.replace(Map.of("old", at("10.0.0.1", "old", 5), "a-new", at("10.0.0.1", "a-new", 6)), 10, START);
        assertEquals(List.of("a-new"), instances());
    }

    private List<String> instances() {
        return registry.list().vms().stream()
                .map(vm -> vm.instance().orElseThrow())
                .toList();
    }

    private List<String> states() {
        return registry.list().vms().stream()
                .map(vm -> vm.instance().orElseThrow() + (vm.leaving() ? " leaving" : ""))
                .toList();
    }

    private static Registration leaving(Registration registration) {
        Vm vm = registration.vm();
        return new Registration(
                new Vm(
                        vm.name(),
                        vm.service(),
                        vm.dataCentre(),
                        vm.address(),
                        vm.innerPort(),
                        true,
                        vm.slots(),
                        vm.instance()),
                registration.startedAt());
    }

    private static Registration at(String address, String instance, long startedAt) {
        Vm vm = new Vm(address, "s", "d", address, 7000, false, OptionalInt.of(4), Optional.of(instance));
        return new Registration(vm, startedAt);
    }
}
