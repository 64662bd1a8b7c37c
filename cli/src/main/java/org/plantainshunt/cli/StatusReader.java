package org.plantainshunt.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads the status of nodes from their admin ports.
 *
 * <p>The nodes of a batch are queried concurrently; one that does not answer delays its batch by at most the timeout.
 * Confined to one thread.
 */
final class StatusReader {
    private static final int BATCH_SIZE = 64;
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private final ObjectMapper mapper = new ObjectMapper();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    /**
     * Reads the status of each node.
     *
     * @param nodes the admin ports as HOST:PORT
     * @throws CommandException if a node is not given as HOST:PORT
     */
    StatusReport read(List<String> nodes) throws CommandException {
        List<URI> addresses = new ArrayList<>();
        for (String node : nodes) {
            addresses.add(address(node));
        }
        List<NodeStatus> rows = new ArrayList<>();
        for (int start = 0; start < nodes.size(); start += BATCH_SIZE) {
            int end = Math.min(nodes.size(), start + BATCH_SIZE);
            rows.addAll(readBatch(nodes.subList(start, end), addresses.subList(start, end)));
        }
        return new StatusReport(rows);
    }

    private List<NodeStatus> readBatch(List<String> nodes, List<URI> addresses) {
        List<CompletableFuture<HttpResponse<String>>> pendingResponses = new ArrayList<>();
        for (URI address : addresses) {
            HttpRequest request =
                    HttpRequest.newBuilder(address).timeout(TIMEOUT).build();
            // The timeout of HttpRequest ends with the response headers; this one covers the body as well.
            pendingResponses.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                    .orTimeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
        }
        List<NodeStatus> rows = new ArrayList<>();
        for (int index = 0; index < nodes.size(); index++) {
            rows.add(awaitStatus(nodes.get(index), pendingResponses.get(index)));
        }
        return rows;
    }

    private NodeStatus awaitStatus(String node, Future<HttpResponse<String>> pendingResponse) {
        try {
            HttpResponse<String> response = pendingResponse.get();
            if (response.statusCode() != 200) {
                return NodeStatus.unreachable(node, "HTTP status " + response.statusCode());
            }
            JsonNode status = mapper.readTree(response.body());
            return status.isObject()
                    ? NodeStatus.of(node, status)
                    : NodeStatus.unreachable(node, "the answer is not a JSON object");
        } catch (IOException e) {
            return NodeStatus.unreachable(node, "the answer is not JSON");
        } catch (ExecutionException e) {
            return NodeStatus.unreachable(node, reason(e.getCause()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return NodeStatus.unreachable(node, "interrupted");
        }
    }

    private static String reason(Throwable cause) {
        if (cause instanceof TimeoutException || cause instanceof HttpTimeoutException) {
            return "no answer within " + TIMEOUT.toSeconds() + " s";
        }
        if (cause instanceof ConnectException) {
            return "connection refused";
        }
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    private static URI address(String node) throws CommandException {
        try {
            URI address = URI.create("http://" + node + "/status");
            if (address.getHost() != null
                    && address.getPort() > 0
                    && address.getPath().equals("/status")) {
                return address;
            }
        } catch (IllegalArgumentException e) {
            // The message below states the expected form, unlike that of the URI parser.
        }
        throw new CommandException(ExitCode.USAGE, "\"" + node + "\" is not HOST:PORT, for example 127.0.0.1:7003");
    }
}
