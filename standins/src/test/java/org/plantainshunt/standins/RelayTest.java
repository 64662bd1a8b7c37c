package org.plantainshunt.standins;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RelayTest {
    private static final int TIMEOUT_MILLISECONDS = 300;

    private final Relay relay = new Relay();
    private ServerSocket echo;
    private Endpoint relayEndpoint;

    @BeforeEach
    void start() throws Exception {
        echo = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::echoAll, "echo");
        thread.setDaemon(true);
        thread.start();
        relayEndpoint = relay.add(new Endpoint("127.0.0.1", 0), new Endpoint("127.0.0.1", echo.getLocalPort()));
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        echo.close();
    }

    /** Guards against a rule that also cuts connections that its prefixes do not match. */
    @Test
    void cutsOnlyMatchingConnections() throws Exception {
        try (Socket here = connect("127.0.0.1");
                Socket there = connect("127.0.0.2")) {
            exchange(here, 10);
            exchange(there, 10);
            relay.updateRule("127.0.0.2", "", rule -> rule.withMode(RelayRule.Mode.CUT));
            assertThrows(IOException.class, () -> exchange(there, 10));
            exchange(here, 10);
            try (Socket refused = connect("127.0.0.2")) {
                assertThrows(IOException.class, () -> exchange(refused, 10));
            }
            relay.heal();
            try (Socket healed = connect("127.0.0.2")) {
                exchange(healed, 10);
            }
        }
    }

    /** Guards against a stalled link that loses the bytes it holds back. */
    @Test
    void forwardsHeldBytesAfterStall() throws Exception {
        try (Socket socket = connect("127.0.0.1")) {
            exchange(socket, 10);
            relay.updateRule("", "", rule -> rule.withMode(RelayRule.Mode.STALL));
            assertThrows(SocketTimeoutException.class, () -> exchange(socket, 10));
            relay.heal();
            assertEquals(10, new DataInputStream(socket.getInputStream()).readNBytes(10).length);
        }
    }

    /** Guards against a bandwidth limit that is not applied, and against reordering of delayed bytes. */
    @Test
    void appliesLatencyAndBandwidth() throws Exception {
        relay.updateRule("", "", rule -> rule.withLatency(20).withBandwidth(8_000_000));
        try (Socket socket = connect("127.0.0.1")) {
            socket.setSoTimeout(5_000);
            long start = System.nanoTime();
            exchange(socket, 200_000);
            double milliseconds = (System.nanoTime() - start) / 1e6;
            // 200 kB at 1 MB/s take 200 ms; the two directions overlap in part, and each adds 20 ms of latency.
            assertTrue(milliseconds >= 240, "took " + milliseconds + " ms");
        }
    }

    /** Guards against giving connections opened from either side of a link separate bandwidth limits. */
    @Test
    void sharesTheBandwidthOfOppositeRules() {
        RelayRules rules = new RelayRules();
        rules.update("127.0.1.", "127.0.2.", rule -> rule.withBandwidth(8_000));
        rules.update("127.0.2.", "127.0.1.", rule -> rule.withBandwidth(8_000));
        RelayRules.LinkRule there = rules.find("127.0.1.1:", "127.0.2.1:7003");
        RelayRules.LinkRule back = rules.find("127.0.2.1:", "127.0.1.1:7003");
        assertEquals(1_000_000_000, there.departureTime(true, 1_000, 0));
        assertEquals(2_000_000_000, back.departureTime(false, 1_000, 0));
        assertEquals(1_000_000_000, back.departureTime(true, 1_000, 0));
    }

    private Socket connect(String from) throws IOException {
        Socket socket = new Socket(relayEndpoint.host(), relayEndpoint.port(), InetAddress.getByName(from), 0);
        socket.setSoTimeout(TIMEOUT_MILLISECONDS);
        return socket;
    }

    private static void exchange(Socket socket, int length) throws IOException {
        byte[] sent = new byte[length];
        for (int index = 0; index < length; index++) {
            sent[index] = (byte) (index * 31 >> 3);
        }
        new DataOutputStream(socket.getOutputStream()).write(sent);
        byte[] received = new byte[length];
        new DataInputStream(socket.getInputStream()).readFully(received);
        assertArrayEquals(sent, received);
    }

    private void echoAll() {
        while (!echo.isClosed()) {
            try {
                Socket socket = echo.accept();
                Thread thread = new Thread(() -> echo(socket), "echo-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private static void echo(Socket socket) {
        try (socket) {
            socket.getInputStream().transferTo(socket.getOutputStream());
        } catch (IOException cut) {
            // Expected: the tests reset connections.
        }
    }
}
