package secondreview;

import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client that sends one request at a time, each on a new connection. Thread-safe. */
final class Client {
    private final Deployment deployment;
    private final int machine;

    Client(Deployment deployment, int machine) {
        this.deployment = deployment;
        this.machine = machine;
    }

    /** Sends a request and returns the status of its answer, or 0 if there is none within its deadline. */
    int send(String method, String path, String id, int deadlineMilliseconds, byte[] body) {
        deployment.record.line("client: sends %s %s %s, %d bytes", id, method, path, body.length);
        int status = 0;
        try (Socket socket = deployment.connect(machine)) {
            socket.setSoTimeout(deadlineMilliseconds);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "h.example");
            headers.put("Request-Id", id);
            headers.put("Deadline-Ms", String.valueOf(deadlineMilliseconds));
            Message.write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", headers, body);
            Message answer = Message.read(socket.getInputStream());
            status = answer == null ? 0 : answer.status();
        } catch (IOException failed) {
            deployment.record.line("client: %s %s", id, failed);
        }
        deployment.record.line("client: %s is answered %d", id, status);
        return status;
    }
}
