package review.third;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Relays the connections between nodes. It can make all open connections silent for good: what arrives on them is
 * dropped, nothing is reset or closed, and new connections work. Thread-safe.
 */
final class Relay implements AutoCloseable {
    private final List<ServerSocket> listening = new ArrayList<>();
    private final List<Pair> open = new ArrayList<>();

    /** The two sides of a relayed connection. */
    private static final class Pair {
        private final Socket accepted;
        private final Socket connected;
        private volatile boolean silent;

        Pair(Socket accepted, Socket connected) {
            this.accepted = accepted;
            this.connected = connected;
        }

        void pump(Socket from, Socket to) {
            byte[] buffer = new byte[1 << 14];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                while (true) {
                    int count = in.read(buffer);
                    if (silent) {
                        if (count < 0) {
                            return;
                        }
                        continue;
                    }
                    if (count < 0) {
                        to.shutdownOutput();
                        return;
                    }
                    out.write(buffer, 0, count);
                }
            } catch (IOException e) {
                if (!silent) {
                    closeBoth();
                }
            }
        }

        private void closeBoth() {
            try {
                accepted.close();
                connected.close();
            } catch (IOException e) {
                // Closed in any case.
            }
        }
    }

    /** Relays the connections to a port of one address to the same port of another. */
    void add(String from, String to, int port) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(from), port), 500);
        synchronized (open) {
            listening.add(server);
        }
        Deployment.thread("relay", () -> accept(server, to, port));
    }

    private void accept(ServerSocket server, String to, int port) {
        while (!server.isClosed()) {
            try {
                Socket accepted = server.accept();
                Deployment.thread("relay-connection", () -> connect(accepted, to, port));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket accepted, String to, int port) {
        try {
            Socket connected = new Socket();
            connected.connect(new InetSocketAddress(to, port), 1_000);
            accepted.setTcpNoDelay(true);
            connected.setTcpNoDelay(true);
            Pair pair = new Pair(accepted, connected);
            synchronized (open) {
                open.add(pair);
            }
            Deployment.thread("relay-back", () -> pair.pump(connected, accepted));
            pair.pump(accepted, connected);
        } catch (IOException e) {
            try {
                accepted.close();
            } catch (IOException closed) {
                // Closed in any case.
            }
        }
    }

    /** Makes all open connections silent, and returns how many there are. */
    int silenceAll() {
        synchronized (open) {
            open.removeIf(pair -> pair.accepted.isClosed() || pair.connected.isClosed());
            open.forEach(pair -> pair.silent = true);
            return open.size();
        }
    }

    @Override
    public void close() throws IOException {
        synchronized (open) {
            for (ServerSocket server : listening) {
                server.close();
            }
            open.forEach(Pair::closeBoth);
        }
    }
}
