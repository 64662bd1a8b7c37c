package review.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A proxy whose open connections can be silenced for good: they stay open, and nothing passes in either direction any
 * more. New connections work. Thread-safe.
 */
public final class SilencingProxy implements AutoCloseable {
    private final ServerSocket listening = new ServerSocket();
    private final InetSocketAddress target;
    private final Record record;
    private final Set<Pair> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    public SilencingProxy(String ip, int port, int targetPort, Record record) throws IOException {
        this.target = new InetSocketAddress(InetAddress.getByName(ip), targetPort);
        this.record = record;
        listening.setReuseAddress(true);
        listening.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 500);
        Threads.start("proxy", this::accept);
    }

    /** Silences the connections that are open now. */
    public void silence() {
        int count = 0;
        for (Pair pair : open) {
            pair.silent = true;
            count++;
        }
        record.line("silenced %d open connections at %s", count, listening.getLocalSocketAddress());
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listening.close();
        for (Pair pair : open) {
            pair.close();
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket client = listening.accept();
                Socket server = new Socket();
                server.connect(target);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                Pair pair = new Pair(client, server);
                open.add(pair);
                Threads.start("proxy", () -> pair.pump(client, server));
                Threads.start("proxy", () -> pair.pump(server, client));
            } catch (IOException e) {
                record.line("proxy: %s", e.getMessage());
            }
        }
    }

    private final class Pair {
        private final Socket client;
        private final Socket server;
        private volatile boolean silent;

        Pair(Socket client, Socket server) {
            this.client = client;
            this.server = server;
        }

        void pump(Socket from, Socket to) {
            byte[] buffer = new byte[16 * 1024];
            try {
                InputStream input = from.getInputStream();
                OutputStream output = to.getOutputStream();
                int count = input.read(buffer);
                while (count >= 0) {
                    if (!silent) {
                        output.write(buffer, 0, count);
                        output.flush();
                    }
                    count = input.read(buffer);
                }
            } catch (IOException e) {
                // The other end is told below.
            }
            if (!silent) {
                close();
            }
        }

        void close() {
            open.remove(this);
            try {
                client.close();
                server.close();
            } catch (IOException e) {
                record.line("proxy: %s", e.getMessage());
            }
        }
    }
}
