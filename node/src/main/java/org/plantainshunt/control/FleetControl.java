package org.plantainshunt.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import org.plantainshunt.configuration.AcceptedDocument;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.DocumentVersion;
import org.plantainshunt.configuration.InvalidVmListException;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.duty.TaskRunner;
import org.plantainshunt.membership.DocumentGossip;
import org.plantainshunt.protocol.Announcement;
import org.plantainshunt.protocol.DocumentMessage;
import org.plantainshunt.protocol.InnerConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the configuration and the VM list of this node at the newest version that it has heard of.
 *
 * <p>Documents come from the platform and from other nodes alike, and only ever replace older ones. A node that starts
 * waits a moment for its seeds before it puts its first configuration in force, since the platform may be stale.
 * Confined to the control duty's thread, except where a method says otherwise.
 */
public final class FleetControl {
    private static final Logger LOGGER = LoggerFactory.getLogger(FleetControl.class);
    private static final long SEED_WAIT = TimeUnit.SECONDS.toNanos(3);
    private static final long EXCHANGE_EVERY = TimeUnit.SECONDS.toNanos(1);
    private static final long FIRST_POLL_WITHIN = TimeUnit.SECONDS.toNanos(2);
    private static final long FIRST_WATCH_WITHIN = TimeUnit.MILLISECONDS.toNanos(300);
    /** The pause after a failed watch; half of it is random, so that nodes don't return together. */
    private static final long WATCH_PAUSE = TimeUnit.MILLISECONDS.toNanos(500);
    /** The pause after a change; changes come in groups, and each read of the platform has a price. */
    private static final long GATHER_TIME = TimeUnit.MILLISECONDS.toNanos(500);

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
    private final long startedAt;
    private List<String> otherNodes = List.of();
    private TaskRunner duty;
    private Optional<VmList> vmList = Optional.empty();
    private boolean seedAnswered;
    private boolean inForce;
    private long nextExchange;
    private volatile long documentNumber;
    private volatile boolean hasVmList;

    /** Creates the control; {@link #runOn} must follow before anything else. */
    public FleetControl(
            String ownVm,
            List<InetSocketAddress> seeds,
            Platform platform,
            Peers peers,
            Listener listener,
            LongSupplier clock,
            RandomGenerator random) {
        this(ownVm, seeds, platform, peers, listener, clock, random, DocumentFormats.INI);
    }

    /** Creates the control for documents of these notations; {@link #runOn} must follow before anything else. */
    public FleetControl(
            String ownVm,
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
        for (DocumentKind kind : DocumentKind.values()) {
            states.put(kind, new DocumentState(new DocumentGossip(random), firstPoll()));
        }
    }

    /** Names the duty whose thread runs this control. */
    public void runOn(TaskRunner owner) {
        this.duty = owner;
    }

    /** Returns the number of the configuration in force, 0 if there is none; safe for use by any thread. */
    public long documentNumber() {
        return documentNumber;
    }

    /** Returns whether calls can be routed, which takes both documents; safe for use by any thread. */
    public boolean complete() {
        return documentNumber > 0 && hasVmList;
    }

    /** Returns the configuration and the last rejection; safe for use by any thread. */
    public AcceptedDocument configuration() {
        return configuration;
    }

    /** Polls, exchanges versions and, at the start, asks the seeds. */
    public void tick() {
        long now = clock.getAsLong();
        states.forEach((kind, state) -> pollWhenDue(kind, state, now));
        if (now >= nextExchange) {
            nextExchange = now + EXCHANGE_EVERY;
            exchange();
        }
        putInForceWhenReady(now);
    }

    /** Takes a peer's announcement; call it on any thread. */
    public void announced(InnerConnection from, Announcement announcement) {
        duty.offer(() -> DocumentKind.ofLabel(announcement.documentKind())
                .ifPresent(
                        kind -> heard(from, kind, new DocumentVersion(announcement.number(), announcement.digest()))));
    }

    /** Takes a peer's request for a document; call it on any thread. */
    public void requested(InnerConnection from, String documentKind) {
        duty.offer(() -> DocumentKind.ofLabel(documentKind).ifPresent(kind -> sendDocument(from, kind)));
    }

    /** Takes a document from a peer; call it on any thread. */
    public void received(InnerConnection from, DocumentMessage message) {
        duty.offer(() -> DocumentKind.ofLabel(message.documentKind()).ifPresent(kind -> unpack(from, kind, message)));
    }

    /** Takes the document number that a call carries; call it on any thread. */
    public void seenNumber(String fromVm, long number) {
        if (number <= documentNumber) {
            return;
        }
        duty.offer(() -> {
            DocumentState state = states.get(DocumentKind.CONFIGURATION);
            DocumentVersion newer = new DocumentVersion(number, "");
            if (state.gossip.wants(newer, clock.getAsLong()) && state.mayAsk(clock.getAsLong())) {
                vm(fromVm)
                        .ifPresent(vm -> peers.use(
                                vm, connection -> connection.requestDocument(DocumentKind.CONFIGURATION.label())));
            }
        });
    }

    private long firstPoll() {
        // A platform that is watched is asked once at a start, so its reads need not be spread over as long.
        return startedAt + random.nextLong(platform.waitsForChange() ? FIRST_WATCH_WITHIN : FIRST_POLL_WITHIN);
    }

    private void pollWhenDue(DocumentKind kind, DocumentState state, long now) {
        if (now < state.nextPoll || state.polling) {
            return;
        }
        state.polling = true;
        platform.read(kind.label(), state.entityTag, answer -> duty.submit(() -> polled(kind, state, answer)));
    }

    private void polled(DocumentKind kind, DocumentState state, Platform.Answer answer) {
        state.polling = false;
        state.nextPoll = clock.getAsLong() + pause(state, answer.state());
        state.reachable(kind, answer.state() != Platform.State.FAILED, answer.detail());
        if (answer.state() == Platform.State.NEW_DOCUMENT) {
            state.entityTag = answer.entityTag();
            offer(kind, answer.body(), "the platform");
        }
        if (state.nextPoll <= clock.getAsLong()) {
            pollWhenDue(kind, state, clock.getAsLong());
        }
    }

    private long pause(DocumentState state, Platform.State answered) {
        if (!platform.waitsForChange()) {
            int fleetSize = vmList.map(list -> list.vms().size()).orElse(1);
            return state.gossip.nextPoll(fleetSize).toNanos();
        }
        switch (answered) {
            case FAILED:
                return WATCH_PAUSE / 2 + random.nextLong(WATCH_PAUSE / 2);
            case NEW_DOCUMENT:
                return GATHER_TIME / 2 + random.nextLong(GATHER_TIME / 2);
            default:
                return 0;
        }
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
            LOGGER.error("cannot compress a document", e);
            return;
        }
        DocumentVersion version = accepted.get();
        LOGGER.info("accepted {} {} from {}", kind.label(), version, source);
        for (String name : state.gossip.accepted(version, otherNodes)) {
            announce(name, kind, version);
        }
        putInForceWhenReady(clock.getAsLong());
    }

    private Optional<DocumentVersion> offerConfiguration(byte[] bytes, String source) {
        switch (configuration.offer(bytes)) {
            case ACCEPTED:
                inForce = false;
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

    private void putInForceWhenReady(long now) {
        if (inForce || configuration.current().isEmpty()) {
            return;
        }
        boolean first = documentNumber == 0;
        if (first && !seeds.isEmpty() && !seedAnswered && now - startedAt < SEED_WAIT) {
            return;
        }
        inForce = true;
        Document document = configuration.current().get();
        documentNumber = document.version().number();
        listener.configuration(document);
    }

    private void exchange() {
        if (documentNumber == 0 || vmList.isEmpty()) {
            seeds.forEach(seed -> peers.useSeed(seed, connection -> {
                connection.requestDocument(DocumentKind.CONFIGURATION.label());
                connection.requestDocument(DocumentKind.VM_LIST.label());
            }));
        }
        states.forEach((kind, state) -> state.gossip.current().ifPresent(version -> state.gossip
                .nextExchange(otherNodes)
                .ifPresent(name -> announce(name, kind, version))));
    }

    private void announce(String name, DocumentKind kind, DocumentVersion version) {
        Announcement announcement = new Announcement(kind.label(), version.number(), version.digest());
        vm(name).ifPresent(vm -> peers.use(vm, connection -> connection.announce(announcement)));
    }

    private Optional<Vm> vm(String name) {
        return vmList.flatMap(list -> list.vms().stream()
                .filter(vm -> vm.name().equals(name) && !name.equals(ownVm))
                .findFirst());
    }

    private void heard(InnerConnection from, DocumentKind kind, DocumentVersion theirs) {
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

    private void unpack(InnerConnection from, DocumentKind kind, DocumentMessage message) {
        try {
            byte[] bytes = Compression.expand(message.compressed());
            // A VM list says nothing of whether the platform's configuration is stale.
            seedAnswered |= kind == DocumentKind.CONFIGURATION;
            offer(kind, bytes, from.peerVm());
        } catch (IOException e) {
            LOGGER.warn("node {} sent a document that cannot be unpacked: {}", from.peerVm(), e.getMessage());
        }
    }

    /** Reaches other nodes; the consumers run on any thread, or never if a node cannot be reached. */
    public interface Peers {
        /** Uses the connection to a VM. */
        void use(Vm vm, Consumer<InnerConnection> action);

        /** Uses the connection to a seed, of which only the address is known. */
        void useSeed(InetSocketAddress address, Consumer<InnerConnection> action);
    }

    /** Receives what came into force; called on the control duty's thread. */
    public interface Listener {
        /** Takes a configuration. */
        void configuration(Document document);

        /** Takes a VM list. */
        void vmList(VmList list);
    }

    /** What the control knows of one kind of document. */
    private static final class DocumentState {
        private static final long ASK_EVERY = TimeUnit.SECONDS.toNanos(1);

        private final DocumentGossip gossip;
        private Optional<String> entityTag = Optional.empty();
        private byte[] compressed = {};
        private boolean polling;
        private boolean unreachable;
        private long nextPoll;
        private long askedAt = Long.MIN_VALUE / 2;

        DocumentState(DocumentGossip gossip, long nextPoll) {
            this.gossip = gossip;
            this.nextPoll = nextPoll;
        }

        boolean mayAsk(long now) {
            if (now - askedAt < ASK_EVERY) {
                return false;
            }
            askedAt = now;
            return true;
        }

        /** Logs only changes, since a platform that is down for an hour is one event. */
        void reachable(DocumentKind kind, boolean answered, String detail) {
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
