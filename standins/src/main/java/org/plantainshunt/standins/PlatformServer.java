package org.plantainshunt.standins;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.ObjectMapper;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * Stands in for the platform: serves a read-only configuration and VM list from memory.
 *
 * <p>Serves {@code GET /configuration} and {@code GET /vm-list} with an entity tag. Tests control it through
 * {@code PUT configuration}, {@code PUT vm-list}, {@code PUT mode} and {@code GET counts} under {@code /control}.
 * Thread-safe.
 */
public final class PlatformServer implements AutoCloseable {
    private static final String MEDIA_TYPE = "text/plain;charset=UTF-8";
    private static final int THREADS = 2;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final StoredDocument configuration = new StoredDocument();
    private final StoredDocument vmList = new StoredDocument();
    private final Endpoint listen;
    private final RatpackServer server;
    private volatile PlatformMode mode = PlatformMode.OK;

    /**
     * Starts the server.
     *
     * @param listen the address to bind
     * @throws Exception if the address cannot be bound
     */
    public PlatformServer(Endpoint listen) throws Exception {
        this.listen = listen;
        server = HttpServers.start(listen, THREADS, this::routes);
    }

    /** Returns the address that the server is bound to. */
    public Endpoint endpoint() {
        return listen.withPort(server.getBindPort());
    }

    @Override
    public void close() throws IOException {
        HttpServers.stop(server);
    }

    private void routes(Chain chain) throws Exception {
        chain.get("configuration", context -> read(context, configuration))
                .get("vm-list", context -> read(context, vmList))
                .prefix("control", control -> control.put("configuration", context -> replace(context, configuration))
                        .put("vm-list", context -> replace(context, vmList))
                        .put("mode", this::changeMode)
                        .get("counts", this::counts));
    }

    private void read(Context context, StoredDocument stored) {
        PlatformMode current = mode;
        Optional<PlatformDocument> document = stored.document(current);
        String knownEntityTag = context.getRequest().getHeaders().get("If-None-Match");
        boolean unchanged = current != PlatformMode.DOWN
                && current != PlatformMode.STALLED
                && document.isPresent()
                && document.get().entityTag().equals(knownEntityTag);
        stored.reads.count(unchanged, System.nanoTime());
        switch (current) {
            case DOWN -> context.getResponse().status(STATUS_UNAVAILABLE).send("platform is down\n");
            case STALLED -> Promise.<Void>async(downstream -> {}).then(unused -> {});
            default -> respond(context, document, unchanged);
        }
    }

    private static void respond(Context context, Optional<PlatformDocument> document, boolean unchanged) {
        if (document.isEmpty()) {
            context.getResponse().status(STATUS_NOT_FOUND).send("no document\n");
            return;
        }
        context.getResponse().getHeaders().set("ETag", document.get().entityTag());
        if (unchanged) {
            context.getResponse().status(STATUS_NOT_MODIFIED).send();
            return;
        }
        context.getResponse().send(MEDIA_TYPE, document.get().bytes());
    }

    private static void replace(Context context, StoredDocument stored) {
        context.getRequest().getBody().then(body -> {
            stored.current.set(new PlatformDocument(body.getBytes()));
            context.getResponse().send("ok\n");
        });
    }

    private void changeMode(Context context) {
        context.getRequest().getBody().then(body -> {
            try {
                setMode(PlatformMode.parse(body.getText()));
                context.getResponse().send("ok\n");
            } catch (IllegalArgumentException failure) {
                context.getResponse().status(STATUS_BAD_REQUEST).send(failure.getMessage() + "\n");
            }
        });
    }

    private synchronized void setMode(PlatformMode next) {
        if (next == PlatformMode.STALE && mode != PlatformMode.STALE) {
            configuration.keepStaleCopy();
            vmList.keepStaleCopy();
        }
        mode = next;
    }

    private void counts(Context context) throws Exception {
        long now = System.nanoTime();
        Map<String, ReadCounter.Reads> counts = new LinkedHashMap<>();
        counts.put("configuration", configuration.reads.snapshot(now));
        counts.put("vm-list", vmList.reads.snapshot(now));
        context.getResponse().send("application/json", JSON.writeValueAsBytes(counts));
    }

    /** The current document, its copy served in stale mode, and the read counts. */
    private static final class StoredDocument {
        private final AtomicReference<PlatformDocument> current = new AtomicReference<>();
        private final AtomicReference<PlatformDocument> stale = new AtomicReference<>();
        private final ReadCounter reads = new ReadCounter();

        void keepStaleCopy() {
            stale.set(current.get());
        }

        Optional<PlatformDocument> document(PlatformMode mode) {
            return Optional.ofNullable(mode == PlatformMode.STALE ? stale.get() : current.get());
        }
    }
}
