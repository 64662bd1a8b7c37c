package org.plantainshunt.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.plantainshunt.call.CallCoordinator;
import org.plantainshunt.call.HopTracer;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.InvalidDocumentException;
import org.plantainshunt.configuration.InvalidVmListException;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.duty.RingBufferWorker;
import org.plantainshunt.http.CallerServer;
import org.plantainshunt.http.HttpPipelineExtension;
import org.plantainshunt.http.RatpackBackendServer;
import org.plantainshunt.protocol.InnerEndpoint;
import org.plantainshunt.protocol.InnerSettings;
import org.plantainshunt.telemetry.Telemetry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;
import ratpack.server.RatpackServer;

/**
 * Warms up the JVM: runs calls through two private nodes in this process before the node accepts real calls.
 *
 * <p>The first calls of a fresh JVM took over 650 ms across two nodes, which is longer than most deadlines. The private
 * nodes use their own loopback ports and contact neither other nodes nor the backend server. Used by one thread.
 */
final class WarmUp implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(WarmUp.class);
    private static final String NAME = "warm-up";
    private static final String SECRET = "only used within this process";
    private static final int CALLS = 4000;
    private static final int CONCURRENT_CALLS = 4;
    private static final long TIMEOUT_MILLISECONDS = 2500;
    private static final int BODY_BYTES = 64 * 1024;

    private final Deque<AutoCloseable> components = new ArrayDeque<>();
    private final ExecController executions;
    private final HttpClient client;
    private final int port;

    private WarmUp() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        RandomGenerator random = RandomGenerator.getDefault();
        Telemetry telemetry = closeLater(new Telemetry(new MetricRegistry()));
        RatpackServer stubServer = RatpackServer.start(spec -> spec.serverConfig(config -> config.address(loopback)
                        .port(0)
                        .threads(1)
                        .development(false)
                        .registerShutdownHook(false))
                .handlers(chain -> chain.all(context -> context.getResponse().send("warm"))));
        components.push(stubServer::stop);
        executions = stubServer.getRegistry().orElseThrow().get(ExecController.class);
        RatpackBackendServer backendServer = closeLater(new RatpackBackendServer(
                new InetSocketAddress(loopback, stubServer.getBindPort()),
                executions,
                16,
                () -> BODY_BYTES,
                System::nanoTime));
        PrivateNode serving = new PrivateNode("warm-up-serving", backendServer, random, telemetry);
        PrivateNode entry = new PrivateNode("warm-up-entry", backendServer, random, telemetry);
        int innerPort = serving.endpoint.listen(loopback.getHostAddress(), 0);
        Document document = document();
        VmList list = vmList(loopback.getHostAddress(), innerPort);
        for (PrivateNode node : List.of(serving, entry)) {
            node.coordinator.configure(document);
            node.coordinator.vmList(list);
        }
        CallerServer callers = closeLater(new CallerServer(
                new InetSocketAddress(loopback, 0),
                1,
                NAME,
                false,
                (call, reply, cancellation) -> entry.coordinator.call(call, reply, cancellation),
                () -> BODY_BYTES,
                System::nanoTime,
                telemetry::refusedBeforeParsing));
        port = callers.server().getBindPort();
        client =
                closeLater(HttpClient.of(spec -> spec.execController(executions).poolSize(CONCURRENT_CALLS)));
    }

    /** Runs the calls for a bounded time; a failure is logged and does not prevent the node from starting. */
    static void run() {
        HttpPipelineExtension.enable();
        long start = System.nanoTime();
        try (WarmUp warmUp = new WarmUp()) {
            int answered = warmUp.runCalls();
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            LOGGER.info("warmed up with {} calls in {} ms", answered, took);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            LOGGER.warn("the node starts without warm-up", e);
        }
    }

    @Override
    public void close() throws IOException {
        while (!components.isEmpty()) {
            try {
                components.pop().close();
            } catch (Exception e) {
                throw new IOException("cannot close a component of the warm-up", e);
            }
        }
    }

    private <T extends AutoCloseable> T closeLater(T component) {
        components.push(component);
        return component;
    }

    private int runCalls() throws InterruptedException {
        AtomicInteger started = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CONCURRENT_CALLS);
        for (int i = 0; i < CONCURRENT_CALLS; i++) {
            startNextCall(started, answered, done);
        }
        done.await(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        started.set(CALLS);
        return answered.get();
    }

    private void startNextCall(AtomicInteger started, AtomicInteger answered, CountDownLatch done) {
        int number = started.getAndIncrement();
        if (number >= CALLS) {
            done.countDown();
            return;
        }
        String kind = number % 8 == 0 ? "update" : "lookup";
        URI uri = URI.create("http://127.0.0.1:" + port + "/warm-up/" + kind);
        executions.fork().onError(error -> done.countDown()).start(execution -> client.get(uri)
                .then(response -> {
                    answered.incrementAndGet();
                    startNextCall(started, answered, done);
                }));
    }

    private static Document document() throws IOException, InvalidDocumentException {
        try (InputStream stream = WarmUp.class.getResourceAsStream("/warm-up.ini")) {
            return Document.parse(stream.readAllBytes());
        }
    }

    private static VmList vmList(String address, int port) throws InvalidVmListException {
        return VmList.parse("[vm-list]\nrevision = 1\n\n[vm warm-up-serving]\nservice = warm-up\n"
                + "data-centre = warm-up\nstate = live\naddress = " + address + "\ninner-port = " + port + "\n");
    }

    /** The call coordinator and the inner endpoint of one of the two private nodes. */
    private final class PrivateNode {
        private final CallCoordinator coordinator;
        private final InnerEndpoint endpoint;

        PrivateNode(String vm, RatpackBackendServer backendServer, RandomGenerator random, Telemetry telemetry) {
            long incarnation = random.nextLong(1, Long.MAX_VALUE);
            DeferredCallHandler handler = new DeferredCallHandler();
            endpoint = closeLater(new InnerEndpoint(
                    new InnerSettings(vm, incarnation, SECRET, BODY_BYTES, 1, () -> false, () -> 0L),
                    handler,
                    new NoOpPeerHandler()));
            coordinator = closeLater(new CallCoordinator(
                    new CallCoordinator.Identity(vm, NAME, NAME, incarnation),
                    backendServer,
                    endpoint::connect,
                    System::nanoTime,
                    random,
                    telemetry,
                    HopTracer.off(),
                    RingBufferWorker::new));
            handler.target = Optional.of(coordinator);
        }
    }
}
