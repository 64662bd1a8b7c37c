package org.plantainshunt.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.plantainshunt.configuration.AcceptedDocument;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.DocumentVersion;
import org.plantainshunt.configuration.InvalidVmListException;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.duty.TaskRunner;
import org.plantainshunt.membership.DocumentGossip;
import org.plantainshunt.membership.StoreReaders.Contact;
import org.plantainshunt.protocol.Announcement;
import org.plantainshunt.protocol.DocumentMessage;
import org.plantainshunt.protocol.InnerConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the configuration and the VM list of this node at the newest known version.
 *
 * <p>Documents come from the platform and from other nodes, and replace only older versions. A starting node waits for
 * a limited time for its seed nodes before it applies its first configuration, since the platform may be stale.
 * Confined to the control thread, except where a method says otherwise.
 */
public final class FleetControl {
    private static final Logger LOGGER = LoggerFactory.getLogger(FleetControl.class);
    private static final long SEED_TIMEOUT = TimeUnit.SECONDS.toNanos(3);
    private static final long EXCHANGE_INTERVAL = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_FIRST_POLL_DELAY = TimeUnit.SECONDS.toNanos(2);
    private static final long MAX_FIRST_WATCH_DELAY = TimeUnit.MILLISECONDS.toNanos(300);
    /** The delay after a failed watch request; half of it is random, so that nodes don't reconnect simultaneously. */
    private static final long WATCH_RETRY_DELAY = TimeUnit.MILLISECONDS.toNanos(500);
    /** How often the delay after a failed watch request doubles at a node on which no other node relies. */
    private static final int MAX_RETRY_DOUBLINGS = 2;
    /** The delay after a change. Changes come in groups, and reading the platform once for each would be costly. */
    private static final long CHANGE_BATCH_DELAY = TimeUnit.MILLISECONDS.toNanos(500);

    private final String ownVm;
    private final Platform platform;
    private final Peers peers;
    private final Listener listener;
    private final LongSupplier clock;
    private final RandomGenerator random;
    private final AcceptedDocument configuration;
    private final DocumentFormats formats;
    private final Map<DocumentKind, DocumentState> states = new EnumMap<>(DocumentKind.class);
    private final List<InetSocketAddress> seeds;
    private final StoreContacts contacts;
    private final long startedAt;
    private List<String> otherNodes = List.of();
    private TaskRunner taskRunner;
    private Optional<VmList> vmList = Optional.empty();
    private boolean seedAnswered;
    private boolean applied;
    private long nextExchange;
    private volatile StoreAccess storeAccess = new StoreAccess(true, List.of(), List.of());
    private volatile long documentNumber;
    private volatile boolean hasVmList;

    /** Creates an instance; {@link #runOn} must be called before any other method. */
    public FleetControl(
            String ownVm,
            String ownDataCentre,
            List<InetSocketAddress> seeds,
            Platform platform,
            Peers peers,
            Listener listener,
            LongSupplier clock,
            RandomGenerator random) {
        this(ownVm, ownDataCentre, seeds, platform, peers, listener, clock, random, DocumentFormats.INI);
    }

    /** Creates an instance for documents of these formats; {@link #runOn} must be called before any other method. */
    public FleetControl(
            String ownVm,
            String ownDataCentre,
            List<InetSocketAddress> seeds,
            Platform platform,
            Peers peers,
            Listener listener,
            LongSupplier clock,
            RandomGenerator random,
            DocumentFormats formats) {
        this.formats = formats;
        this.configuration = new AcceptedDocument(formats.configuration());
        this.ownVm = ownVm;
        this.seeds = List.copyOf(seeds);
        this.platform = platform;
        this.peers = peers;
        this.listener = listener;
        this.clock = clock;
        this.random = random;
        this.startedAt = clock.getAsLong();
        this.contacts = new StoreContacts(ownVm, ownDataCentre, random, this::storeContact, this::send);
        for (DocumentKind kind : DocumentKind.values()) {
            states.put(kind, new DocumentState(new DocumentGossip(random), firstPollTime()));
        }
    }

    /** Sets the task runner whose thread owns the state of this instance. */
    public void runOn(TaskRunner runner) {
        this.taskRunner = runner;
    }

    /** Returns the version number of the applied configuration, or 0 if there is none; safe for use by any thread. */
    public long documentNumber() {
        return documentNumber;
    }

    /** Returns whether both documents, which routing needs, are present; safe for use by any thread. */
    public boolean hasAllDocuments() {
        return documentNumber > 0 && hasVmList;
    }

    /** Returns the holder of the configuration and of the last rejection; safe for use by any thread. */
    public AcceptedDocument configuration() {
        return configuration;
    }

    /** Returns how this node learns of changes in the platform's store; safe for use by any thread. */
    public StoreAccess storeAccess() {
        return storeAccess;
    }

    /** Polls the platform, exchanges versions with peers and, during startup, requests documents from the seeds. */
    public void tick() {
        long now = clock.getAsLong();
        followPlatform(now);
        if (now >= nextExchange) {
            nextExchange = now + EXCHANGE_INTERVAL;
            exchangeVersions();
        }
        applyWhenReady(now);
    }

    /** Handles a peer's announcement; safe for use by any thread. */
    public void announced(InnerConnection from, Announcement announcement) {
        if (announcement.documentKind().equals(StoreContacts.KIND)) {
            taskRunner.offer(() -> {
                long now = clock.getAsLong();
                contacts.received(from, announcement, now);
                followPlatform(now);
            });
            return;
        }
        taskRunner.offer(() -> DocumentKind.ofLabel(announcement.documentKind())
                .ifPresent(kind -> handleAnnouncement(
                        from, kind, new DocumentVersion(announcement.number(), announcement.digest()))));
    }

    /** Handles a peer's request for a document; safe for use by any thread. */
    public void requested(InnerConnection from, String documentKind) {
        taskRunner.offer(() -> DocumentKind.ofLabel(documentKind).ifPresent(kind -> sendDocument(from, kind)));
    }

    /** Handles a document from a peer; safe for use by any thread. */
    public void received(InnerConnection from, DocumentMessage message) {
        taskRunner.offer(() ->
                DocumentKind.ofLabel(message.documentKind()).ifPresent(kind -> handleDocument(from, kind, message)));
    }

    /** Handles the version number of the configuration that a call carries; safe for use by any thread. */
    public void configurationNumberSeen(String fromVm, long number) {
        if (number <= documentNumber) {
            return;
        }
        taskRunner.offer(() -> {
            DocumentState state = states.get(DocumentKind.CONFIGURATION);
            DocumentVersion newer = new DocumentVersion(number, "");
            if (state.gossip.wants(newer, clock.getAsLong()) && state.tryRequest(clock.getAsLong())) {
                vm(fromVm)
                        .ifPresent(vm -> peers.withConnection(
                                vm, connection -> connection.requestDocument(DocumentKind.CONFIGURATION.label())));
            }
        });
    }

    /** Reads the platform if that is due, or asks the nodes that do. */
    private void followPlatform(long now) {
        if (platform.waitsForChange()) {
            contacts.tick(now);
            contacts.tellFollowers(now);
            updateStoreAccess(new StoreAccess(contacts.reads(now), contacts.sources(now), contacts.followers(now)));
        }
        states.forEach((kind, state) -> pollWhenDue(kind, state, now));
    }

    private long firstPollTime() {
        // With watch requests, a starting node reads the platform once, so a shorter spread of the reads is enough.
        return startedAt + random.nextLong(platform.waitsForChange() ? MAX_FIRST_WATCH_DELAY : MAX_FIRST_POLL_DELAY);
    }

    private void pollWhenDue(DocumentKind kind, DocumentState state, long now) {
        if (now < state.nextPoll || state.polling) {
            return;
        }
        if (platform.waitsForChange() && !contacts.reads(now)) {
            state.contact = Optional.empty();
            state.failuresInARow = 0;
            return;
        }
        state.polling = true;
        platform.read(kind.label(), state.entityTag, answer -> taskRunner.submit(() -> polled(kind, state, answer)));
    }

    private void polled(DocumentKind kind, DocumentState state, Platform.Answer answer) {
        state.polling = false;
        state.recordResult(answer.state());
        state.nextPoll = clock.getAsLong() + nextPollDelay(state, answer.state());
        state.logReachability(kind, answer.state() != Platform.State.FAILED, answer.detail());
        if (answer.state() == Platform.State.NEW_DOCUMENT) {
            state.entityTag = answer.entityTag();
            offer(kind, answer.body(), "the platform");
        }
        contacts.tellFollowers(clock.getAsLong());
        if (state.nextPoll <= clock.getAsLong()) {
            pollWhenDue(kind, state, clock.getAsLong());
        }
    }

    private long nextPollDelay(DocumentState state, Platform.State result) {
        if (!platform.waitsForChange()) {
            int fleetSize = vmList.map(list -> list.vms().size()).orElse(1);
            return state.gossip.nextPoll(fleetSize).toNanos();
        }
        switch (result) {
            case FAILED:
                long delay = watchRetryDelay(state);
                return delay / 2 + random.nextLong(delay / 2);
            case NEW_DOCUMENT:
                return CHANGE_BATCH_DELAY / 2 + random.nextLong(CHANGE_BATCH_DELAY / 2);
            default:
                return 0;
        }
    }

    private long watchRetryDelay(DocumentState state) {
        if (contacts.isRelevantReader(clock.getAsLong())) {
            return WATCH_RETRY_DELAY;
        }
        int doublings = Math.min(state.failuresInARow - 1, MAX_RETRY_DOUBLINGS);
        return WATCH_RETRY_DELAY << doublings;
    }

    private Optional<Contact> storeContact() {
        boolean lost = states.values().stream().anyMatch(state -> state.contact.equals(Optional.of(Contact.LOST)));
        boolean hasRead = states.values().stream().anyMatch(state -> state.contact.isPresent());
        if (lost || hasRead && platform.isSilent()) {
            return Optional.of(Contact.LOST);
        }
        boolean current = states.values().stream().allMatch(state -> state.contact.isPresent());
        return current ? Optional.of(Contact.CURRENT) : Optional.empty();
    }

    private boolean hasCurrentContact(DocumentKind kind) {
        return states.get(kind).contact.equals(Optional.of(Contact.CURRENT));
    }

    private void updateStoreAccess(StoreAccess access) {
        boolean changed = access.reads() != storeAccess.reads();
        storeAccess = access;
        if (!changed) {
            return;
        }
        if (access.reads()) {
            LOGGER.info("reads the store itself; nodes that rely on this one: {}", access.followers());
            return;
        }
        LOGGER.info("relies on the nodes {} for changes in the store", access.sources());
        vmList.ifPresent(platform::learned);
    }

    private void offer(DocumentKind kind, byte[] bytes, String source) {
        Optional<DocumentVersion> accepted =
                kind == DocumentKind.CONFIGURATION ? offerConfiguration(bytes, source) : offerVmList(bytes, source);
        if (accepted.isEmpty()) {
            return;
        }
        DocumentState state = states.get(kind);
        try {
            state.compressed = Compression.compress(bytes);
        } catch (IOException e) {
            LOGGER.error("failed to compress a document", e);
            return;
        }
        DocumentVersion version = accepted.get();
        LOGGER.info("accepted {} {} from {}", kind.label(), version, source);
        Set<String> recipients = new LinkedHashSet<>(contacts.followers(clock.getAsLong()));
        recipients.addAll(state.gossip.accepted(version, otherNodes));
        recipients.forEach(name -> announce(name, kind, version));
        vmList.ifPresent(list -> contacts.update(configuration.current(), list));
        applyWhenReady(clock.getAsLong());
    }

    private Optional<DocumentVersion> offerConfiguration(byte[] bytes, String source) {
        switch (configuration.offer(bytes)) {
            case ACCEPTED:
                applied = false;
                configuration.current().ifPresent(document -> platform.configured(serviceNames(document)));
                return configuration.current().map(Document::version);
            case INVALID:
                LOGGER.warn(
                        "rejected a configuration from {}: {}",
                        source,
                        configuration.lastRejection().map(Throwable::getMessage).orElse(""));
                return Optional.empty();
            default:
                return Optional.empty();
        }
    }

    private static Set<String> serviceNames(Document document) {
        return document.services().stream().map(Service::name).collect(Collectors.toSet());
    }

    private Optional<DocumentVersion> offerVmList(byte[] bytes, String source) {
        VmList parsed;
        try {
            parsed = formats.vmList().read(bytes);
        } catch (InvalidVmListException e) {
            LOGGER.warn("rejected a VM list from {}: {}", source, e.getMessage());
            return Optional.empty();
        }
        DocumentVersion version = new DocumentVersion(parsed.revision(), Compression.digest(bytes));
        Optional<DocumentVersion> current =
                states.get(DocumentKind.VM_LIST).gossip.current();
        if (current.isPresent() && current.get().compareTo(version) >= 0) {
            return Optional.empty();
        }
        vmList = Optional.of(parsed);
        otherNodes = parsed.vms().stream()
                .map(Vm::name)
                .filter(name -> !name.equals(ownVm))
                .toList();
        listener.vmList(parsed);
        hasVmList = true;
        return Optional.of(version);
    }

    private void applyWhenReady(long now) {
        if (applied || configuration.current().isEmpty()) {
            return;
        }
        boolean first = documentNumber == 0;
        if (first && !seeds.isEmpty() && !seedAnswered && now - startedAt < SEED_TIMEOUT) {
            return;
        }
        applied = true;
        Document document = configuration.current().get();
        documentNumber = document.version().number();
        listener.configuration(document);
    }

    private void exchangeVersions() {
        if (documentNumber == 0 || vmList.isEmpty()) {
            seeds.forEach(seed -> peers.withSeedConnection(seed, connection -> {
                connection.requestDocument(DocumentKind.CONFIGURATION.label());
                connection.requestDocument(DocumentKind.VM_LIST.label());
            }));
        }
        states.forEach((kind, state) -> state.gossip.current().ifPresent(version -> state.gossip
                .nextExchange(otherNodes)
                .ifPresent(name -> announce(name, kind, version))));
    }

    private void announce(String name, DocumentKind kind, DocumentVersion version) {
        send(name, new Announcement(kind.label(), version.number(), version.digest()));
    }

    private void send(String name, Announcement announcement) {
        vm(name).ifPresent(vm -> peers.withConnection(vm, connection -> connection.announce(announcement)));
    }

    private Optional<Vm> vm(String name) {
        return vmList.flatMap(list -> list.vms().stream()
                .filter(vm -> vm.name().equals(name) && !name.equals(ownVm))
                .findFirst());
    }

    private void handleAnnouncement(InnerConnection from, DocumentKind kind, DocumentVersion theirs) {
        DocumentState state = states.get(kind);
        Optional<DocumentVersion> ours = state.gossip.current();
        if (ours.isPresent() && ours.get().compareTo(theirs) > 0) {
            from.announce(new Announcement(
                    kind.label(), ours.get().number(), ours.get().digest()));
            return;
        }
        if (state.gossip.wants(theirs, clock.getAsLong())) {
            state.gossip.requested(theirs, clock.getAsLong());
            from.requestDocument(kind.label());
        }
    }

    private void sendDocument(InnerConnection to, DocumentKind kind) {
        DocumentState state = states.get(kind);
        Optional<DocumentVersion> version = state.gossip.current();
        if (version.isPresent() && state.compressed.length > 0) {
            to.sendDocument(new DocumentMessage(
                    kind.label(), version.get().number(), version.get().digest(), state.compressed));
        }
    }

    private void handleDocument(InnerConnection from, DocumentKind kind, DocumentMessage message) {
        try {
            byte[] bytes = Compression.decompress(message.compressed());
            // A VM list does not show whether the platform's configuration is stale.
            seedAnswered |= kind == DocumentKind.CONFIGURATION;
            offer(kind, bytes, from.peerVm());
            if (kind == DocumentKind.VM_LIST && !hasCurrentContact(kind)) {
                vmList.ifPresent(platform::learned);
            }
        } catch (IOException e) {
            LOGGER.warn("node {} sent a document that cannot be decompressed: {}", from.peerVm(), e.getMessage());
        }
    }

    /** Connects to other nodes. Actions run on any thread; an action is dropped if the other node is unreachable. */
    public interface Peers {
        /** Runs an action with the connection to a VM; the action is also dropped if this node is busy. */
        void withConnection(Vm vm, Consumer<InnerConnection> action);

        /** Runs an action with the connection to a seed, of which only the address is known. */
        void withSeedConnection(InetSocketAddress address, Consumer<InnerConnection> action);
    }

    /** Receives the documents to apply; called on the control thread. */
    public interface Listener {
        /** Called with a new configuration. */
        void configuration(Document document);

        /** Called with a new VM list. */
        void vmList(VmList list);
    }

    /**
     * How a node learns of changes in the platform's store.
     *
     * @param reads whether it reads the store itself
     * @param sources the nodes that it asks for their contact with the store
     * @param followers the nodes that rely on it
     */
    public record StoreAccess(boolean reads, List<String> sources, List<String> followers) {}

    /** The state of one kind of document. */
    private static final class DocumentState {
        private static final long REQUEST_INTERVAL = TimeUnit.SECONDS.toNanos(1);

        private final DocumentGossip gossip;
        private Optional<String> entityTag = Optional.empty();
        private byte[] compressed = {};
        private boolean polling;
        private boolean unreachable;
        private Optional<Contact> contact = Optional.empty();
        private int failuresInARow;
        private long nextPoll;
        private long requestedAt = Long.MIN_VALUE / 2;

        DocumentState(DocumentGossip gossip, long nextPoll) {
            this.gossip = gossip;
            this.nextPoll = nextPoll;
        }

        void recordResult(Platform.State result) {
            boolean failed = result == Platform.State.FAILED;
            contact = Optional.of(failed ? Contact.LOST : Contact.CURRENT);
            failuresInARow = failed ? failuresInARow + 1 : 0;
        }

        /** Limits the rate of requests that are caused by the version number of a call. */
        boolean tryRequest(long now) {
            if (now - requestedAt < REQUEST_INTERVAL) {
                return false;
            }
            requestedAt = now;
            return true;
        }

        /** Logs only changes, so that a long outage of the platform is logged once. */
        void logReachability(DocumentKind kind, boolean answered, String detail) {
            if (answered == unreachable) {
                unreachable = !answered;
                LOGGER.info(
                        answered ? "the platform answers again for {}{}" : "the platform does not answer for {}: {}",
                        kind.label(),
                        answered ? "" : detail);
            }
        }
    }
}
