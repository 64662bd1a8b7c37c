package org.plantainshunt.standins;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import ratpack.handling.Context;
import ratpack.http.Headers;
import ratpack.server.RatpackServer;

/** A fake node that records the path, context and ticket of each call and responds as the test specifies. */
final class FakeNode implements AutoCloseable {
    private final List<String> calls = new CopyOnWriteArrayList<>();
    private final RatpackServer server;

    FakeNode(Consumer<Context> responder) throws Exception {
        server = HttpServers.start(
                new Endpoint("127.0.0.1", 0),
                1,
                chain -> chain.all(context -> {
                    recordCall(context);
                    responder.accept(context);
                }));
    }

    Endpoint endpoint() {
        return new Endpoint("127.0.0.1", server.getBindPort());
    }

    List<String> calls() {
        return List.copyOf(calls);
    }

    /**
     * Responds with result code 1105 (TICKET_REQUIRED) and the ticket if the request has none; returns whether it did.
     */
    static boolean requireTicket(Context context, String ticket) {
        if (context.getRequest().getHeaders().contains(HeaderNames.TICKET)) {
            return false;
        }
        context.getResponse().getHeaders().set(HeaderNames.RESULT, "1105").set(HeaderNames.TICKET, ticket);
        context.getResponse().status(428).send();
        return true;
    }

    /** Responds with result code 1000 and a body that is valid for the request. */
    static void respondWithValidBody(Context context) {
        String workId = context.getRequest().getHeaders().get(HeaderNames.WORK_ID);
        context.getResponse().getHeaders().set(HeaderNames.RESULT, "1000");
        context.getResponse().send(ResponseBody.write("r", workId, "store", "fake", 10));
    }

    @Override
    public void close() throws IOException {
        HttpServers.stop(server);
    }

    private void recordCall(Context context) {
        Headers headers = context.getRequest().getHeaders();
        calls.add(context.getRequest().getPath() + " " + headers.get(HeaderNames.CONTEXT) + " "
                + headers.get(HeaderNames.TICKET));
    }
}
