package org.plantainshunt.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.protocol.Announcement;
import org.plantainshunt.protocol.DocumentMessage;
import org.plantainshunt.protocol.InnerConnection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that a node's documents are replaced only by newer ones, whatever the platform and the peers send. */
class FleetControlTest {
    private static final long MILLISECOND = 1_000_000;
    private static final String CONFIGURATION = "configuration";
    private static final String VM_LIST = "vm-list";
    private static final InetSocketAddress SEED = new InetSocketAddress("127.0.0.1", 7001);

    private final Map<String, Platform.Answer> platform = new HashMap<>();
    private final Map<String, FakePeer> peers = new HashMap<>();
    private final FakePeer seed = new FakePeer("vm-2");
    private final List<Long> applied = new ArrayList<>();
    private final List<Long> lists = new ArrayList<>();
    /** Answers of reads that wait for a change; delivered at the next tick. */
    private final List<Runnable> pending = new ArrayList<>();

    private int reads;
    private boolean silent;
    private long now;

    @Test
    void aStalePlatformDoesNotRevertANewerDocument() throws Exception {
        FleetControl control = control(List.of());
        platform.put(CONFIGURATION, document(4));
        run(control, 3_000);
        control.received(seed, message(CONFIGURATION, text(6)));
        platform.put(CONFIGURATION, document(5));
        run(control, 5_000);
        assertEquals(List.of(4L, 6L), applied);
        platform.put(CONFIGURATION, document(7));
        run(control, 3_000);
        assertEquals(List.of(4L, 6L, 7L), applied);
    }

    @Test
    void seedsAnswerWhileThePlatformIsDown() throws Exception {
        FleetControl control = control(List.of(SEED));
        run(control, 1_000);
        assertTrue(seed.requested().containsAll(List.of(CONFIGURATION, VM_LIST)));
        assertEquals(0, control.documentNumber());
        control.received(seed, message(CONFIGURATION, text(3)));
        assertEquals(List.of(3L), applied);
        assertFalse(control.hasAllDocuments(), "without a VM list each call would be refused with 1113");
        control.received(seed, message(VM_LIST, list(8)));
        assertTrue(control.hasAllDocuments());
        assertEquals(List.of(8L), lists);
        int requestsBefore = seed.requested().size();
        run(control, 3_000);
        assertEquals(
                requestsBefore,
                seed.requested().size(),
                "a node with both documents still sends requests to its seeds");
    }

    /** The platform may be stale when a node starts, so the node waits a limited time for its seeds. */
    @Test
    void theFirstDocumentWaitsForASeedsConfiguration() throws Exception {
        platform.put(CONFIGURATION, document(3));
        FleetControl control = control(List.of(SEED));
        run(control, 2_200);
        control.received(seed, message(VM_LIST, list(1)));
        run(control, 200);
        assertEquals(List.of(), applied);
        control.received(seed, message(CONFIGURATION, text(5)));
        assertEquals(List.of(5L), applied);
    }

    @Test
    void aSilentSeedDelaysTheStartByThreeSecondsAtMost() throws Exception {
        platform.put(CONFIGURATION, document(3));
        FleetControl control = control(List.of(SEED));
        run(control, 2_900);
        assertEquals(List.of(), applied);
        run(control, 200);
        assertEquals(List.of(3L), applied);
    }

    @Test
    void invalidDocumentsChangeNothing() throws Exception {
        platform.put(CONFIGURATION, document(4));
        platform.put(VM_LIST, answer(list(2)));
        FleetControl control = control(List.of());
        run(control, 3_000);
        platform.put(CONFIGURATION, answer(text(9).replace("region = one", "region = two")));
        platform.put(VM_LIST, answer("[vm-list]\nrevision = many\n"));
        run(control, 3_000);
        assertEquals(List.of(4L), applied);
        assertEquals(List.of(2L), lists);
        assertTrue(control.configuration().lastRejection().isPresent());
    }

    @Test
    void peersAheadGetRequestsAndPeersBehindGetAnnouncements() throws Exception {
        FleetControl control = control(List.of());
        platform.put(CONFIGURATION, document(4));
        run(control, 3_000);
        FakePeer ahead = new FakePeer("vm-2");
        control.announced(ahead, new Announcement(CONFIGURATION, 5, "00"));
        control.announced(ahead, new Announcement(CONFIGURATION, 5, "00"));
        assertEquals(List.of(CONFIGURATION), ahead.requested(), "a requested document is requested again");
        FakePeer behind = new FakePeer("vm-3");
        control.announced(behind, new Announcement(CONFIGURATION, 3, "ff"));
        assertEquals(4, behind.announced().get(0).number());
        control.requested(behind, CONFIGURATION);
        assertEquals(
                text(4), new String(Compression.decompress(behind.sent().get(0).compressed()), StandardCharsets.UTF_8));
        control.announced(behind, new Announcement("of another kind", 9, "00"));
        assertEquals(List.of(), behind.requested());
    }

    @Test
    void acceptedDocumentsAreAnnouncedAtOnce() throws Exception {
        FleetControl control = control(List.of());
        control.received(seed, message(VM_LIST, list(1)));
        control.received(seed, message(CONFIGURATION, text(4)));
        assertEquals(3, peers.size());
        for (FakePeer peer : peers.values()) {
            assertTrue(peer.announced().stream().anyMatch(announcement -> announcement.number() == 4), peer.peerVm());
        }
    }

    /** A call that carries a newer version is a hint; the document is requested from the peer at most once a second. */
    @Test
    void callsThatNameANewerDocumentCauseARequestForIt() throws Exception {
        FleetControl control = control(List.of());
        control.received(seed, message(VM_LIST, list(1)));
        for (int i = 0; i < 5; i++) {
            control.configurationNumberSeen("vm-2", 9);
        }
        assertEquals(List.of(CONFIGURATION), peers.get("vm-2").requested());
    }

    /** A peer must not make the node hold a larger document than the platform could, compressed or not. */
    @Test
    void documentsOverOneMebibyteAreRefused() throws Exception {
        FleetControl control = control(List.of());
        String filler = "# filler\n".repeat(150_000);
        control.received(seed, message(CONFIGURATION, text(4) + filler));
        control.received(seed, message(VM_LIST, list(4) + "\n".repeat(100_000_000)));
        byte[] noise = new byte[1_100_000];
        new Random(1).nextBytes(noise);
        control.received(seed, new DocumentMessage(CONFIGURATION, 9, "00", noise));
        byte[] cut = Compression.compress(text(9).getBytes(StandardCharsets.UTF_8));
        control.received(
                seed, new DocumentMessage(CONFIGURATION, 9, "00", java.util.Arrays.copyOf(cut, cut.length / 2)));
        run(control, 3_000);
        assertEquals(List.of(), applied);
        assertEquals(List.of(), lists);
    }

    /** A node of a small fleet polls about once a second for each document, also while the platform is down. */
    @Test
    void thePlatformIsReadAboutOnceASecond() throws Exception {
        run(control(List.of()), 20_000);
        assertTrue(reads >= 30 && reads <= 50, reads + " reads in 20 s");
    }

    /** Guards against a load on the store that grows with the fleet. */
    @Test
    void nodeWithCurrentSourcesDoesNotReadTheStore() throws Exception {
        FleetControl control = watchingControl(false);
        run(control, 2_000);
        answerRequests(control, StoreContacts.CURRENT);
        int before = reads;
        for (int second = 0; second < 10; second++) {
            run(control, 500);
            answerRequests(control, StoreContacts.CURRENT);
        }
        assertEquals(before, reads, "reads of the store");
        assertFalse(control.storeAccess().reads());
        assertEquals(2, control.storeAccess().sources().size());
        run(control, 2_500);
        assertTrue(reads > before, "the store is not read although no source replies");
    }

    /** Guards against a reader that reports a contact before it has one, and against followers that learn late. */
    @Test
    void readerReportsItsContactAndTellsItsFollowersAtOnce() throws Exception {
        FakePeer follower = new FakePeer("vm-40");
        Announcement request = new Announcement(StoreContacts.KIND, StoreContacts.REQUEST, "");
        watchingControl("vm-1").announced(follower, request);
        assertEquals(List.of(), follower.announced());
        FleetControl control = watchingControl(true);
        run(control, 2_000);
        control.announced(follower, request);
        assertEquals(StoreContacts.CURRENT, follower.announced().get(0).number());
        platform.put(CONFIGURATION, document(5));
        run(control, 1_000);
        assertTrue(peers.get("vm-40").announced().stream().anyMatch(announcement -> announcement.number() == 5));
        platform.clear();
        run(control, 2_000);
        control.announced(follower, request);
        assertEquals(StoreContacts.LOST, follower.announced().get(1).number());
    }

    /** Guards against followers that rely on a reader whose path to the store is dead. */
    @Test
    void readerWhoseStoreIsSilentTellsItsFollowersAtOnce() throws Exception {
        FleetControl control = watchingControl(true);
        run(control, 2_000);
        control.announced(new FakePeer("vm-40"), new Announcement(StoreContacts.KIND, StoreContacts.REQUEST, ""));
        silent = true;
        run(control, 100);
        assertEquals(List.of(StoreContacts.LOST), contactsTold("vm-40"), "a silent store is a lost one");
        silent = false;
        run(control, 100);
        assertEquals(List.of(StoreContacts.LOST, StoreContacts.CURRENT), contactsTold("vm-40"));
    }

    /** Guards against a node that waits for its next turn after all its sources have lost the store. */
    @Test
    void nodeWhoseSourcesHaveLostTheStoreAsksOthersAtOnce() throws Exception {
        FleetControl control = watchingControl(false);
        for (int round = 0; round < 20; round++) {
            run(control, 100);
            answerRequests(control, StoreContacts.CURRENT);
        }
        assertFalse(control.storeAccess().reads());
        peers.clear();
        for (String source : control.storeAccess().sources()) {
            control.announced(new FakePeer(source), new Announcement(StoreContacts.KIND, StoreContacts.LOST, ""));
        }
        assertEquals(
                1,
                peers.values().stream()
                        .filter(peer -> peer.announced().stream()
                                .anyMatch(message -> message.number() == StoreContacts.REQUEST))
                        .count());
        run(control, 1_000);
        assertTrue(control.storeAccess().reads(), "the store is not read although no other source replies");
    }

    private List<Long> contactsTold(String vm) {
        return peers.get(vm).announced().stream()
                .filter(announcement -> announcement.documentKind().equals(StoreContacts.KIND))
                .map(Announcement::number)
                .toList();
    }

    /** Returns the control of a node with 40 peers in its region that is, or is not, a reader by rank. */
    private FleetControl watchingControl(boolean readerByRank) {
        platform.put(CONFIGURATION, document(4));
        platform.put(VM_LIST, answer(list(1, 40)));
        for (int index = 1; index <= 40; index++) {
            FleetControl control = watchingControl("vm-" + index);
            run(control, 1_000);
            peers.clear();
            if (control.storeAccess().sources().isEmpty() == readerByRank) {
                run(control, 1_000);
                return control;
            }
            pending.clear();
        }
        throw new AssertionError("no such node");
    }

    private FleetControl watchingControl(String vm) {
        FleetControl control = new FleetControl(
                vm,
                "one-1",
                List.of(),
                new WatchedPlatform(),
                new FakePeers(),
                new RecordingListener(),
                () -> now,
                new Random(1));
        control.runOn(Runnable::run);
        return control;
    }

    /** Replies to the node's requests for a contact with the store. */
    private void answerRequests(FleetControl control, long contact) {
        for (FakePeer peer : List.copyOf(peers.values())) {
            boolean asked = peer.announced()
                    .removeIf(announcement -> announcement.documentKind().equals(StoreContacts.KIND));
            if (asked) {
                control.announced(peer, new Announcement(StoreContacts.KIND, contact, ""));
            }
        }
    }

    private FleetControl control(List<InetSocketAddress> seeds) {
        FleetControl control = new FleetControl(
                "vm-1", "one-1", seeds, this::read, new FakePeers(), new RecordingListener(), () -> now, new Random(1));
        control.runOn(Runnable::run);
        return control;
    }

    private void run(FleetControl control, long milliseconds) {
        for (long end = now + milliseconds * MILLISECOND; now < end; now += 100 * MILLISECOND) {
            List<Runnable> due = List.copyOf(pending);
            pending.clear();
            due.forEach(Runnable::run);
            control.tick();
        }
        control.tick();
    }

    private void read(String name, Optional<String> entityTag, Consumer<Platform.Answer> listener) {
        reads++;
        listener.accept(platform.getOrDefault(name, Platform.Answer.without(Platform.State.FAILED, "down")));
    }

    private static String text(long version) {
        return "[document]\nversion = " + version + "\nname = test\n\n[region one]\n\n[data-centre one-1]\n"
                + "region = one\n\n[service front]\nslots = 2\nconnections = 20\n";
    }

    private static String list(long revision) {
        return list(revision, 4);
    }

    private static String list(long revision, int vms) {
        StringBuilder text = new StringBuilder("[vm-list]\nrevision = " + revision + "\n");
        for (int i = 1; i <= vms; i++) {
            text.append("\n[vm vm-").append(i).append("]\nservice = front\ndata-centre = one-1\n");
            text.append("address = 127.0.0.1\nstate = live\ninner-port = ")
                    .append(7000 + i)
                    .append('\n');
        }
        return text.toString();
    }

    private static Platform.Answer document(long version) {
        return answer(text(version));
    }

    private static Platform.Answer answer(String text) {
        return new Platform.Answer(
                Platform.State.NEW_DOCUMENT, text.getBytes(StandardCharsets.UTF_8), Optional.empty(), "");
    }

    private static DocumentMessage message(String kind, String text) throws IOException {
        return new DocumentMessage(kind, 1, "00", Compression.compress(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** A platform whose reads wait for a change; here they return at once if there is none. */
    private final class WatchedPlatform implements Platform {
        private final Map<String, Platform.Answer> sent = new HashMap<>();

        @Override
        public boolean waitsForChange() {
            return true;
        }

        @Override
        public boolean isSilent() {
            return silent;
        }

        @Override
        public void read(String name, Optional<String> entityTag, Consumer<Answer> listener) {
            reads++;
            Answer answer = platform.getOrDefault(name, Answer.without(State.FAILED, "down"));
            if (answer.equals(sent.put(name, answer)) && answer.state() != State.FAILED) {
                pending.add(() -> listener.accept(Answer.without(State.NOT_MODIFIED, "")));
                return;
            }
            listener.accept(answer);
        }
    }

    private final class FakePeers implements FleetControl.Peers {
        @Override
        public void withConnection(Vm vm, Consumer<InnerConnection> action) {
            action.accept(peers.computeIfAbsent(vm.name(), FakePeer::new));
        }

        @Override
        public void withSeedConnection(InetSocketAddress address, Consumer<InnerConnection> action) {
            action.accept(seed);
        }
    }

    private final class RecordingListener implements FleetControl.Listener {
        @Override
        public void configuration(Document document) {
            applied.add(document.version().number());
        }

        @Override
        public void vmList(VmList list) {
            lists.add(list.revision());
        }
    }
}
