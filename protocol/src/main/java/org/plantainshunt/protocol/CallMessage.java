package org.plantainshunt.protocol;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.plantainshunt.retry.RetryShare;

/**
 * A call on its way from an entry node to a serving node. The body is not copied and must not be changed.
 *
 * @param service the service called
 * @param kind the kind of request
 * @param path path and query as sent by the caller, without the service and kind if the path names them
 * @param method HTTP method
 * @param headers HTTP headers for the backend server
 * @param body whole body; empty if there is none
 * @param requestId ID of the request that started the call chain
 * @param priority 0 (most important) to 511
 * @param continues whether an earlier call for the same request was answered, so that a refusal would waste its work
 * @param deadlineMilliseconds time left, in milliseconds; the time a call waits to be sent is subtracted
 * @param share retry allowance of this call and its downstream calls, and whether it repeats a call that may have run
 * @param ticket ticket of a call that runs at most once
 * @param traceParent value of the W3C traceparent header; empty if there is none
 * @param documentNumber version of the configuration active at the sender; 0 if there is none
 */
public record CallMessage(
        String service,
        String kind,
        String path,
        String method,
        List<Header> headers,
        byte[] body,
        String requestId,
        int priority,
        boolean continues,
        long deadlineMilliseconds,
        RetryShare share,
        Optional<String> ticket,
        String traceParent,
        long documentNumber) {
    /** Largest priority value, which is the least important. */
    public static final int HIGHEST_PRIORITY_VALUE = 511;

    /** Rejects null components and priorities out of range, and copies the headers. */
    public CallMessage {
        if (priority < 0 || priority > HIGHEST_PRIORITY_VALUE) {
            throw new IllegalArgumentException("priority " + priority + " is not in 0 to 511");
        }
        Objects.requireNonNull(share, "share");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(method, "method");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(ticket, "ticket");
        Objects.requireNonNull(traceParent, "traceParent");
    }
}
