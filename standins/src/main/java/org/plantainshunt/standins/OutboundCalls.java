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
 * Makes the outbound calls of a backend server sequentially through the outbound address of its node.
 *
 * <p>Propagates the node's context, the trace context, the request id and the remaining deadline. An at-most-once call
 * is sent again with the ticket that the node issues; after an unknown outcome it is retried only with the same ticket.
 * Must be used on a Ratpack execution.
 */
final class OutboundCalls {
    private static final int RESPONSE_BYTES = 256;
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final int POOL_SIZE = 256;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    /** How long after the deadline a call still waits for the node to report its outcome. */
    private static final long GRACE_MILLISECONDS = 250;

    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long MAX_CALL_MILLISECONDS = 30_000;

    private final HttpClient client;
    private final Endpoint outbound;
    private final List<DeclaredCall> declared;
    private final int maxAttempts;

    /**
     * Creates the HTTP client for the outbound calls.
     *
     * @throws Exception if the HTTP client cannot be created
     */
    OutboundCalls(Endpoint outbound, List<DeclaredCall> declared, int maxAttempts) throws Exception {
        this.outbound = outbound;
        this.declared = List.copyOf(declared);
        this.maxAttempts = maxAttempts;
        // All hosts are IP addresses, so the blocking JDK resolver never does a DNS lookup.
        this.client = HttpClient.of(spec -> spec.useJdkAddressResolver()
                .poolSize(POOL_SIZE)
                .connectTimeout(CONNECT_TIMEOUT)
                .maxContentLength(MAX_RESPONSE_BYTES));
    }

    /** Makes the calls declared for the kind of the request and returns the first that failed, if any. */
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
            if (response.requiresTicket() && ticket.isEmpty()) {
                return attempt(call, number, response.ticket());
            }
            if (response.succeeded() || number >= maxAttempts || response.runState() == RunState.RUN) {
                return Promise.value(response);
            }
            // After "not run" a new ticket is safe; otherwise only the same ticket keeps the call at most once.
            return attempt(call, number + 1, response.runState() == RunState.NOT_RUN ? Optional.empty() : ticket);
        });
    }

    private Promise<NodeResponse> send(Call call, int number, Optional<String> ticket) {
        long remainingMilliseconds = remainingMilliseconds(call.request());
        URI uri = URI.create("http://" + outbound + "/" + call.target() + "?size=" + RESPONSE_BYTES);
        return client.request(uri, spec -> {
                    spec.post()
                            .connectTimeout(CONNECT_TIMEOUT)
                            .readTimeout(Duration.ofMillis(remainingMilliseconds + GRACE_MILLISECONDS));
                    spec.headers(headers -> {
                        headers.set(HeaderNames.WORK_ID, call.workId());
                        headers.set(HeaderNames.ATTEMPT_ID, call.workId() + ".a" + number);
                        headers.set(HeaderNames.DEADLINE, Long.toString(remainingMilliseconds));
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

    private static long remainingMilliseconds(ReceivedRequest request) {
        long remaining = (request.deadlineAt() - System.nanoTime()) / NANOS_PER_MILLISECOND;
        return Math.max(1, Math.min(remaining, MAX_CALL_MILLISECONDS));
    }

    /**
     * Values of an inbound request, and of the server that received it, that are propagated to its outbound calls.
     *
     * @param context the opaque context set by the node
     * @param traceParent the W3C trace context
     * @param requestId the request id, which is the same for the whole call tree
     * @param process random id of the server's process, which becomes part of the work ids of the calls
     */
    record PropagatedHeaders(
            Optional<String> context, Optional<String> traceParent, Optional<String> requestId, String process) {}

    private record Call(DeclaredCall declared, ReceivedRequest request, PropagatedHeaders propagated, int index) {
        String target() {
            return declared.service() + "/" + declared.callKind();
        }

        /** Returns a work id that is unique for each run of the parent request, since each run makes its own calls. */
        String workId() {
            RequestIdentity parent = request.identity();
            return parent.workId() + ">" + propagated.process() + "." + parent.sequence() + "." + index;
        }
    }
}
