package org.plantainshunt.standins;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.plantainshunt.result.RunState;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;

/**
 * Makes the calls of a backend server through the outbound address of its node, one after the other.
 *
 * <p>Passes on the context, the trace context, the request id and the time left. A kind that runs at most once is
 * repeated with the ticket of the answer; after an unknown outcome only the same ticket is used again. Must be used on
 * an execution of Ratpack.
 */
final class OutboundCalls {
    private static final int RESPONSE_BYTES = 256;
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final int POOL_SIZE = 256;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    /** Time beyond the deadline in which the node may still say how a call ended. */
    private static final long GRACE_MILLISECONDS = 250;

    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long MAX_CALL_MILLISECONDS = 30_000;

    private final HttpClient client;
    private final Endpoint outbound;
    private final List<DeclaredCall> declared;
    private final int maxAttempts;

    /**
     * Creates the caller side of a backend server.
     *
     * @throws Exception if the HTTP client cannot be created
     */
    OutboundCalls(Endpoint outbound, List<DeclaredCall> declared, int maxAttempts) throws Exception {
        this.outbound = outbound;
        this.declared = List.copyOf(declared);
        this.maxAttempts = maxAttempts;
        // Addresses are IP numbers, so the resolver of the JDK never blocks on a look-up.
        this.client = HttpClient.of(spec -> spec.useJdkAddressResolver()
                .poolSize(POOL_SIZE)
                .connectTimeout(CONNECT_TIMEOUT)
                .maxContentLength(MAX_RESPONSE_BYTES));
    }

    /** Makes the calls declared for the kind of a work; the result names the first call that failed, if any did. */
    Promise<Optional<String>> callAll(ReceivedRequest request, PropagatedHeaders propagated) {
        List<Call> calls = new ArrayList<>();
        for (DeclaredCall call : declared) {
            if (call.kind().equals(request.identity().kind())) {
                for (int index = 0; index < call.count(); index++) {
                    calls.add(new Call(call, request, propagated, calls.size()));
                }
            }
        }
        return callFrom(calls, 0);
    }

    private Promise<Optional<String>> callFrom(List<Call> calls, int index) {
        if (index == calls.size() || calls.get(index).request().cancelReason().isPresent()) {
            return Promise.value(Optional.empty());
        }
        Call call = calls.get(index);
        return attempt(call, 1, Optional.empty()).flatMap(response -> {
            if (!response.succeeded()) {
                return Promise.value(Optional.of(call.target() + " " + response.result()));
            }
            return callFrom(calls, index + 1);
        });
    }

    private Promise<NodeResponse> attempt(Call call, int number, Optional<String> ticket) {
        return send(call, number, ticket).flatMap(response -> {
            if (response.asksForTicket() && ticket.isEmpty()) {
                return attempt(call, number, response.ticket());
            }
            if (response.succeeded() || number >= maxAttempts || response.runState() == RunState.RUN) {
                return Promise.value(response);
            }
            // After "not run" a new ticket is safe; otherwise only the ticket already used keeps the work at most once.
            return attempt(call, number + 1, response.runState() == RunState.NOT_RUN ? Optional.empty() : ticket);
        });
    }

    private Promise<NodeResponse> send(Call call, int number, Optional<String> ticket) {
        long left = millisecondsLeft(call.request());
        URI uri = URI.create("http://" + outbound + "/" + call.target() + "?size=" + RESPONSE_BYTES);
        return client.request(uri, spec -> {
                    spec.post()
                            .connectTimeout(CONNECT_TIMEOUT)
                            .readTimeout(Duration.ofMillis(left + GRACE_MILLISECONDS));
                    spec.headers(headers -> {
                        headers.set(HeaderNames.WORK_ID, call.workId());
                        headers.set(HeaderNames.ATTEMPT_ID, call.workId() + ".a" + number);
                        headers.set(HeaderNames.DEADLINE, Long.toString(left));
                        headers.set(HeaderNames.ATTEMPT, Integer.toString(number));
                        ticket.ifPresent(value -> headers.set(HeaderNames.TICKET, value));
                        call.propagated().context().ifPresent(value -> headers.set(HeaderNames.CONTEXT, value));
                        call.propagated().requestId().ifPresent(value -> headers.set(HeaderNames.REQUEST_ID, value));
                        call.propagated()
                                .traceParent()
                                .ifPresent(value -> headers.set(HeaderNames.TRACE_PARENT, value));
                    });
                })
                .map((ReceivedResponse response) -> NodeResponse.of(response, call.workId()))
                .mapError(NodeResponse::of);
    }

    private static long millisecondsLeft(ReceivedRequest request) {
        long left = (request.deadlineAt() - System.nanoTime()) / NANOS_PER_MILLISECOND;
        return Math.max(1, Math.min(left, MAX_CALL_MILLISECONDS));
    }

    /**
     * The headers of an inbound request that its outbound calls carry on.
     *
     * @param context the context of the node
     * @param traceParent the trace context
     * @param requestId the id of the whole request
     * @param server identity of the server's process, for the identities of the calls
     */
    record PropagatedHeaders(
            Optional<String> context, Optional<String> traceParent, Optional<String> requestId, String server) {}

    private record Call(DeclaredCall declared, ReceivedRequest request, PropagatedHeaders propagated, int index) {
        String target() {
            return declared.service() + "/" + declared.callKind();
        }

        /** Returns an identity that differs for each run of the parent, since each run makes its calls anew. */
        String workId() {
            RequestIdentity parent = request.identity();
            return parent.workId() + ">" + propagated.server() + "." + parent.sequence() + "." + index;
        }
    }
}
