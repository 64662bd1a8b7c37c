package org.plantainshunt.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import net.logstash.logback.argument.StructuredArguments;
import org.plantainshunt.call.CallCoordinator;
import org.plantainshunt.call.HopTracer;
import org.plantainshunt.call.InboundCall;
import org.plantainshunt.call.ReplyListener;
import org.plantainshunt.call.Snapshot;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.control.DocumentFormats;
import org.plantainshunt.control.FleetControl;
import org.plantainshunt.control.HealthWatch;
import org.plantainshunt.control.Platform;
import org.plantainshunt.duty.Worker;
import org.plantainshunt.http.AdminPages;
import org.plantainshunt.http.MetricsReport;
import org.plantainshunt.protocol.Announcement;
import org.plantainshunt.protocol.CancelHandle;
import org.plantainshunt.protocol.DocumentMessage;
import org.plantainshunt.protocol.HandshakeInfo;
import org.plantainshunt.protocol.InnerConnection;
import org.plantainshunt.protocol.InnerEndpoint;
import org.plantainshunt.protocol.InnerSettings;
import org.plantainshunt.protocol.PeerHandler;
import org.plantainshunt.telemetry.SpanTracer;
import org.plantainshunt.telemetry.Telemetry;
import org.plantainshunt.telemetry.ThreadTimes;
import org.plantainshunt.telemetry.TraceFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running node: the worker threads, servers and clients of one process.
 *
 * <p>A graceful shutdown makes the node not ready, announces that it is draining, completes the calls in flight and
 * closes. Calls end by {@link NodeComponents.StopTimes#calls}, and replies are delivered until
 * {@link NodeComponents.StopTimes#timeout} at the latest. Thread-safe.
 */
public final class Node implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(Node.class);
    private static final int INNER_THREADS = 2;
    private static final int CONTROL_QUEUE_CAPACITY = 1024;
    private static final Duration CONTROL_TICK_INTERVAL = Duration.ofMillis(100);
    private static final long HEALTH_CHECK_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long STOP_CHECK_MILLISECONDS = 20;
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    private final NodeSettings settings;
    private final long incarnation;
    private final MetricRegistry metrics = new MetricRegistry();
    private final Telemetry telemetry;
    private final HopTracer tracer;
    private final AutoCloseable admin;
    private final CallerEdge callers;
    private final NodeComponents.LocalBackendServer backendServer;
    private final NodeComponents.StopTimes stopTimes;
    private final Platform platform;
    private final Optional<NodeComponents.HealthSource> healthSource;
    private final CallCoordinator coordinator;
    private final FleetControl control;
    private final Worker controlWorker;
    private final InnerEndpoint inner;
    private final HealthWatch health = new HealthWatch();
    private long nextHealthCheck;
    private boolean healthRequestPending;
    private boolean wasReady;
    private volatile Optional<Document> activeDocument = Optional.empty();
    private volatile boolean draining;
    private volatile boolean stopping;
    private volatile String backendServerHealth = "unknown";

    /**
     * Starts a node.
     *
     * @throws Exception if an address cannot be bound or a file cannot be written
     */
    public Node(NodeSettings settings) throws Exception {
        this(settings, new RatpackComponents(settings));
    }

    /**
     * Starts a node with other adapters for its callers, backend server and platform.
     *
     * @param components creates the adapters
     * @throws Exception if an address cannot be bound or a file cannot be written
     */
    public Node(NodeSettings settings, NodeComponents components) throws Exception {
        this.settings = settings;
        RandomGenerator random = new SecureRandom();
        incarnation = random.nextLong(1, Long.MAX_VALUE);
        telemetry = new Telemetry(metrics, traceFile(settings));
        tracer = settings.spanFile().isPresent()
                ? new SpanTracer(settings.spanFile().get(), settings.name())
                : HopTracer.off();
        StatusReport status = new StatusReport(this);
        Worker.Factory workers = components.workers();
        DocumentFormats formats = components.formats();
        admin = components.admin(
                settings.adminAddress(), new AdminPages(status::describe, new MetricsReport(metrics), this::ready));
        platform = components.platform();
        healthSource = components.health();
        control = new FleetControl(
                settings.name(),
                settings.dataCentre(),
                settings.seeds(),
                platform,
                new PeerConnections(),
                new ActivationListener(),
                System::nanoTime,
                random,
                formats);
        InnerSettings innerSettings = new InnerSettings(
                settings.name(),
                incarnation,
                settings.sharedSecret(),
                MAX_BODY_BYTES,
                INNER_THREADS,
                () -> draining,
                control::documentNumber);
        inner = components.inner(innerSettings, new PeerCallHandler(this), new PeerMessageHandler());
        CallerEdge.Context context = new CallerEdge.Context(
                this::submit, () -> activeDocument, this::ready, telemetry::refusedBeforeParsing, System::nanoTime);
        callers = components.callers(context);
        backendServer = components.backendServer(context);
        stopTimes = components.stopTimes();
        coordinator = new CallCoordinator(
                new CallCoordinator.Identity(settings.name(), settings.service(), settings.dataCentre(), incarnation),
                backendServer,
                inner::connect,
                System::nanoTime,
                random,
                telemetry,
                tracer,
                workers);
        inner.listen(
                settings.innerAddress().getAddress().getHostAddress(),
                settings.innerAddress().getPort());
        controlWorker = workers.start("control", CONTROL_QUEUE_CAPACITY, CONTROL_TICK_INTERVAL, this::tickControl);
        control.runOn(controlWorker);
        registerGauges();
        LOGGER.info("node {} of service {} started, incarnation {}", settings.name(), settings.service(), incarnation);
    }

    private static Optional<TraceFile> traceFile(NodeSettings settings) throws IOException {
        if (settings.decisionFile().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new TraceFile(settings.decisionFile().get(), settings.name(), TraceFile.MAX_FILE_BYTES));
    }

    NodeSettings settings() {
        return settings;
    }

    long incarnation() {
        return incarnation;
    }

    FleetControl control() {
        return control;
    }

    Snapshot snapshot() {
        return coordinator.snapshot();
    }

    CallCoordinator coordinator() {
        return coordinator;
    }

    String state() {
        if (stopping) {
            return "stopping";
        }
        if (draining) {
            return "draining";
        }
        return ready() ? "serving" : "starting";
    }

    /** Returns the last known health of the backend server, for the status report only. */
    String backendServerHealth() {
        return backendServerHealth;
    }

    /** Returns whether the node accepts calls; false while the node is still being constructed. */
    boolean ready() {
        FleetControl created = control;
        return created != null && created.hasAllDocuments() && !draining && !stopping;
    }

    /** Shuts down gracefully: becomes not ready, announces draining, completes the calls in flight, then closes. */
    @Override
    public void close() {
        LOGGER.info("node {} is stopping", settings.name());
        stopping = true;
        callers.drain();
        long start = System.nanoTime();
        coordinator.stop(start + stopTimes.calls().toNanos());
        awaitIdle(start);
        closeComponents(start);
        LOGGER.info(
                "node {} stopped",
                settings.name(),
                StructuredArguments.kv("cpuMs", cpuMilliseconds()),
                StructuredArguments.kv("threads", ThreadTimes.milliseconds()));
    }

    private void awaitIdle(long start) {
        while (System.nanoTime() - start < stopTimes.timeout().toNanos()) {
            long elapsed = System.nanoTime() - start;
            if (elapsed >= stopTimes.serving().toNanos()) {
                setDraining(true);
            }
            if (elapsed > stopTimes.listening().toNanos()) {
                callers.stopListening();
            }
            boolean lastRequestsArrived = elapsed
                    > stopTimes.listening().plus(stopTimes.lastRequests()).toNanos();
            Snapshot now = coordinator.snapshot();
            boolean fresh = now.takenAt() - start > 0;
            boolean idle = now.servingCalls() == 0 && now.entryCalls() == 0;
            boolean answersReceived = callers.openRequests() == 0 && callers.closingConnections() == 0;
            if (lastRequestsArrived && fresh && idle && answersReceived) {
                return;
            }
            try {
                Thread.sleep(STOP_CHECK_MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        LOGGER.warn(
                "shutdown timeout: {} requests of callers and {} calls for the backend server are open, {} connections"
                        + " are being closed",
                callers.openRequests(),
                coordinator.snapshot().servingCalls(),
                callers.closingConnections());
    }

    private void closeComponents(long start) {
        Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
        Duration left = stopTimes.timeout().minus(elapsed);
        closeQuietly(callers);
        closeQuietly(controlWorker);
        closeQuietly(coordinator);
        closeQuietly(backendServer);
        closeQuietly(() -> inner.close(left));
        closeQuietly(platform);
        closeQuietly(admin);
        closeQuietly(telemetry);
        if (tracer instanceof AutoCloseable closeable) {
            closeQuietly(closeable);
        }
    }

    private static void closeQuietly(AutoCloseable component) {
        try {
            component.close();
        } catch (Exception e) {
            LOGGER.warn("cannot close a component", e);
        }
    }

    /**
     * Submits a call to {@link CallCoordinator}; returns false if the coordinator does not accept it or the node is
     * still being constructed.
     */
    private boolean submit(InboundCall call, ReplyListener reply, Consumer<CancelHandle> cancellation) {
        CallCoordinator created = coordinator;
        return created != null && created.call(call, reply, cancellation);
    }

    private void setDraining(boolean value) {
        if (draining == value) {
            return;
        }
        draining = value;
        coordinator.drain(value);
        if (value) {
            inner.announceDraining();
        }
    }

    private void tickControl() {
        if (controlWorker == null) {
            // The worker may tick before the constructor has assigned it.
            return;
        }
        control.tick();
        logFirstReady();
        long now = System.nanoTime();
        if (healthSource.isPresent() && now >= nextHealthCheck && !healthRequestPending) {
            nextHealthCheck = now + HEALTH_CHECK_INTERVAL_NANOSECONDS;
            healthRequestPending = true;
            healthSource.get().read(answer -> controlWorker.submit(() -> onHealth(answer)));
        }
    }

    /** Logs the CPU time of the start. */
    private void logFirstReady() {
        if (!wasReady && ready()) {
            wasReady = true;
            LOGGER.info("node ready", StructuredArguments.kv("cpuMs", cpuMilliseconds()));
        }
    }

    /** Returns the CPU time of the process so far, or -1 if the system does not tell. */
    private static long cpuMilliseconds() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(Duration::toMillis)
                .orElse(-1L);
    }

    private void onHealth(HealthWatch.Health answer) {
        healthRequestPending = false;
        boolean changed = health.update(answer);
        backendServerHealth = health.failing() ? "failing" : health.draining() ? "draining" : "serving";
        if (changed && !stopping) {
            LOGGER.info("the backend server {}", health.draining() ? "is draining" : "serves again");
            setDraining(health.draining());
        }
    }

    private void registerGauges() {
        gauge("serving.running", () -> snapshot().running());
        gauge("serving.waiting", () -> snapshot().waiting());
        gauge("serving.limit", () -> snapshot().limit());
        gauge("serving.level", () -> snapshot().level());
        gauge("serving.tickets", () -> snapshot().tickets());
        gauge("callers.open", callers::openRequests);
        gauge("entry.open", () -> snapshot().entryCalls());
        gauge("decisions.ring-fill", () -> coordinator.queueUtilization());
        gauge("telemetry.ring-fill", telemetry::queueUtilization);
        gauge("control.bytes-sent", inner::controlBytesSent);
        gauge("control.bytes-received", inner::controlBytesReceived);
        gauge("configuration.number", control::documentNumber);
        gauge("control.reads-store", () -> control.storeAccess().reads() ? 1 : 0);
        gauge("control.ignored-entries", platform::ignoredEntries);
        gauge("control.store-eras", platform::storeEras);
        gauge("control.followers", () -> control.storeAccess().followers().size());
        gauge("cpu.threads", ThreadTimes::milliseconds);
        gauge("memory.heap-bytes", () -> {
            Runtime runtime = Runtime.getRuntime();
            return runtime.totalMemory() - runtime.freeMemory();
        });
    }

    private void gauge(String name, Gauge<?> value) {
        metrics.register(name, value);
    }

    /** Passes newly activated configurations and VM lists to the call coordinator. */
    private final class ActivationListener implements FleetControl.Listener {
        @Override
        public void configuration(Document document) {
            activeDocument = Optional.of(document);
            coordinator.configure(document);
        }

        @Override
        public void vmList(VmList list) {
            coordinator.vmList(list);
        }
    }

    /**
     * Gives the fleet control access to other nodes: to listed ones over the connections of the call coordinator, to
     * seeds over new connections.
     */
    private final class PeerConnections implements FleetControl.Peers {
        @Override
        public void withConnection(Vm vm, Consumer<InnerConnection> action) {
            coordinator.withConnection(vm, action);
        }

        @Override
        public void withSeedConnection(InetSocketAddress address, Consumer<InnerConnection> action) {
            inner.connect(address.getAddress().getHostAddress(), address.getPort())
                    .thenAccept(action);
        }
    }

    /** Forwards messages of peers to the call coordinator and the fleet control. */
    private final class PeerMessageHandler implements PeerHandler {
        @Override
        public void handshakeCompleted(HandshakeInfo handshakeInfo) {
            coordinator.handshakeCompleted(handshakeInfo);
        }

        @Override
        public void draining(String vm, long theirIncarnation) {
            coordinator.draining(vm, theirIncarnation);
        }

        @Override
        public void disconnected(String vm) {
            coordinator.disconnected(vm);
        }

        @Override
        public void documentAnnounced(InnerConnection from, Announcement announcement) {
            control.announced(from, announcement);
        }

        @Override
        public void documentRequested(InnerConnection from, String documentKind) {
            control.requested(from, documentKind);
        }

        @Override
        public void documentReceived(InnerConnection from, DocumentMessage document) {
            control.received(from, document);
        }
    }
}
