package secondreview;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections at an address and handles each on a thread of its own. Thread-safe. */
final class Acceptor implements AutoCloseable {
    private final ServerSocket listening;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final List<Socket> fillers = new ArrayList<>();
    private volatile boolean paused;

    /** Handles a connection until it ends. */
    interface Handler {
        void handle(Socket socket) throws IOException, InterruptedException;
    }

    Acceptor(String ip, int port, Handler handler) throws IOException {
        this(ip, port, 1024, handler);
    }

    /** Starts to accept connections, of which the kernel queues as many as the backlog. */
    Acceptor(String ip, int port, int backlog, Handler handler) throws IOException {
        listening = new ServerSocket(port, backlog, InetAddress.getByName(ip));
        start("accept " + ip + ":" + port, () -> accept(handler));
    }

    static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(Handler handler) {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                if (paused) {
                    fillers.add(socket);
                    return;
                }
                open.add(socket);
                start("connection", () -> handle(handler, socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void handle(Handler handler, Socket socket) {
        try (socket) {
            handler.handle(socket);
        } catch (IOException | InterruptedException | RuntimeException ended) {
            // The peer has closed the connection, or the case has ended.
        } finally {
            open.remove(socket);
        }
    }

    /**
     * Lets new connections hang as in a partition, by filling the kernel's queue of connections that are not accepted.
     * Open connections stay open.
     */
    void hangNewConnections() {
        paused = true;
        while (true) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(listening.getLocalSocketAddress(), 100);
            } catch (IOException full) {
                return;
            }
        }
    }

    /** Closes the open connections; new ones are still accepted. */
    void closeConnections() {
        for (Socket socket : open) {
            try {
                socket.close();
            } catch (IOException closed) {
                // It is closed already.
            }
        }
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket filler : fillers) {
            filler.close();
        }
        closeConnections();
    }
}
