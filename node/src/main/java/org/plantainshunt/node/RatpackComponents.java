package org.plantainshunt.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.ToLongFunction;

import org.plantainshunt.call.BackendServer;
import org.plantainshunt.configuration.Policy;
import org.plantainshunt.control.DocumentFormats;
import org.plantainshunt.control.Platform;
import org.plantainshunt.duty.RingBufferWorker;
import org.plantainshunt.duty.Worker;
import org.plantainshunt.http.AdminPages;
import org.plantainshunt.http.AdminServer;
import org.plantainshunt.http.CallerServer;
import org.plantainshunt.http.HealthReader;
import org.plantainshunt.http.HttpPipelineExtension;
import org.plantainshunt.http.RatpackBackendServer;
import org.plantainshunt.http.RatpackPlatform;
import org.plantainshunt.protocol.CallHandler;
import org.plantainshunt.protocol.InnerEndpoint;
import org.plantainshunt.protocol.InnerSettings;
import org.plantainshunt.protocol.PeerHandler;
import ratpack.exec.ExecController;
import ratpack.server.RatpackServer;

/** The adapters for the interfaces described in docs/interfaces.md, on Ratpack. Used by one node. */
final class RatpackComponents implements NodeComponents {
    private static final int HTTP_THREADS = 2;
    private static final int BACKEND_CONNECTIONS = 512;
    /** The maximum size of a request or answer body while the node has no configuration. */
    private static final long DEFAULT_BODY_BYTES = 1024 * 1024;

    /** The time for the announcement of a shutdown to reach all callers and nodes. */
    private static final Duration PROPAGATION_TIME = Duration.ofMillis(500);
    /** The time in which requests may still arrive on the connections that were accepted last. */
    private static final Duration LAST_REQUESTS_TIME = Duration.ofSeconds(1);

    /** Longer than the longest deadline of a call, which is 30 s. */
    private static final Duration CALLS_TIMEOUT = Duration.ofSeconds(32);

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(35);

    private final NodeSettings settings;
    private AdminServer admin;
    private RatpackServer callerServer;

    RatpackComponents(NodeSettings settings) {
        HttpPipelineExtension.enable();
        this.settings = settings;
    }

    @Override
    public Worker.Factory workers() {
        return RingBufferWorker::new;
    }

    @Override
    public DocumentFormats formats() {
        return DocumentFormats.INI;
    }

    @Override
    public AutoCloseable admin(InetSocketAddress address, AdminPages pages) throws Exception {
        admin = new AdminServer(address, pages);
        return admin;
    }

    @Override
    public Platform platform() throws IOException {
        return new RatpackPlatform(settings.platform(), admin.executions());
    }

    @Override
    public Optional<HealthSource> health() throws IOException {
        return Optional.of(new HealthReader(settings.backendServer(), admin.executions())::read);
    }

    @Override
    public InnerEndpoint inner(InnerSettings inner, CallHandler calls, PeerHandler peers) {
        return new InnerEndpoint(inner, calls, peers);
    }

    @Override
    public CallerEdge callers(CallerEdge.Context context) throws Exception {
        CallerServer outbound = callerServer(context, settings.outboundAddress(), 1, true);
        CallerServer callers = callerServer(context, settings.callerAddress(), HTTP_THREADS, false);
        callerServer = callers.server();
        return new CallerServers(outbound, callers);
    }

    @Override
    public LocalBackendServer backendServer(CallerEdge.Context context) throws Exception {
        RatpackBackendServer client = new RatpackBackendServer(
                settings.backendServer(),
                executions(callerServer),
                BACKEND_CONNECTIONS,
                () -> limit(context, Policy::largestAnswer),
                context.clock());
        return new BackendClient(client);
    }

    @Override
    public StopTimes stopTimes() {
        return new StopTimes(Duration.ZERO, PROPAGATION_TIME, LAST_REQUESTS_TIME, CALLS_TIMEOUT, STOP_TIMEOUT);
    }

    private CallerServer callerServer(
            CallerEdge.Context context, InetSocketAddress address, int threads, boolean fromBackendServer)
            throws Exception {
        return new CallerServer(
                address,
                threads,
                settings.name(),
                fromBackendServer,
                context.submitter(),
                () -> limit(context, Policy::largestBody),
                context.clock(),
                context.refusals()::accept);
    }

    private static long limit(CallerEdge.Context context, ToLongFunction<Policy> limit) {
        return context.activeConfiguration()
                .get()
                .map(document -> limit.applyAsLong(document.policy()))
                .orElse(DEFAULT_BODY_BYTES);
    }

    private static ExecController executions(RatpackServer server) {
        return server.getRegistry().orElseThrow().get(ExecController.class);
    }

    /** The servers for outside callers and for the backend server's own calls. */
    private record CallerServers(CallerServer outbound, CallerServer callers) implements CallerEdge {
        @Override
        public int openRequests() {
            return callers.openRequests() + outbound.openRequests();
        }

        @Override
        public int closingConnections() {
            return callers.closingConnections() + outbound.closingConnections();
        }

        @Override
        public void drain() {
            callers.drain();
        }

        @Override
        public void stopListening() {
            callers.stopListening();
        }

        @Override
        public void close() throws IOException {
            callers.close();
            outbound.close();
        }
    }

    /** Adapts the Ratpack client to {@link LocalBackendServer}. */
    private record BackendClient(RatpackBackendServer client) implements LocalBackendServer {
        @Override
        public void send(BackendServer.Handover request, BackendServer.Listener listener) {
            client.send(request, listener);
        }

        @Override
        public void cancel(String callId) {
            client.cancel(callId);
        }

        @Override
        public void close() throws IOException {
            client.close();
        }
    }
}
