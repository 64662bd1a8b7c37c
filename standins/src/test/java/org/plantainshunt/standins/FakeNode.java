package org.plantainshunt.standins;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import ratpack.handling.Context;
import ratpack.http.Headers;
import ratpack.server.RatpackServer;

/** Answers 1105 with a new ticket to each request without one, and a whole answer to each request with a ticket. */
final class FakeNode implements AutoCloseable {
    private final List<String> calls = new CopyOnWriteArrayList<>();
    private final AtomicInteger tickets = new AtomicInteger();
    private final RatpackServer server;

    FakeNode() throws Exception {
        server = HttpServers.start(new Endpoint("127.0.0.1", 0), 1, chain -> chain.all(this::answer));
    }

    Endpoint endpoint() {
        return new Endpoint("127.0.0.1", server.getBindPort());
    }

    List<String> calls() {
        return List.copyOf(calls);
    }

    @Override
    public void close() throws IOException {
        HttpServers.stop(server);
    }

    private void answer(Context context) {
        Headers headers = context.getRequest().getHeaders();
        String ticket = headers.get(HeaderNames.TICKET);
        calls.add(context.getRequest().getPath() + " " + headers.get(HeaderNames.CONTEXT) + " "
                + (ticket == null ? "-" : ticket));
        if (ticket == null) {
            context.getResponse().getHeaders().set(HeaderNames.RESULT, "1105");
            context.getResponse().getHeaders().set(HeaderNames.TICKET, "t" + tickets.incrementAndGet());
            context.getResponse().status(428).send();
            return;
        }
        context.getResponse().getHeaders().set(HeaderNames.RESULT, "1000");
        context.getResponse().send(AnswerBody.write("r", headers.get(HeaderNames.WORK_ID), "store", "fake", 10));
    }
}
