package org.plantainshunt.protocol;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;

import com.google.protobuf.ByteString;
import org.plantainshunt.protocol.wire.Challenge;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.protocol.wire.Hello;
import org.plantainshunt.protocol.wire.Identity;
import org.plantainshunt.protocol.wire.Welcome;

/** A peer on a plain socket that can send invalid frames and break off the handshake. */
final class RawPeer implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLISECONDS = 8_000;

    final Socket socket;
    final Authenticator authenticator = new Authenticator(RecordingHandler.SECRET);
    final ByteString nonce = authenticator.newNonce();
    private final DataInputStream input;

    RawPeer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
        input = new DataInputStream(socket.getInputStream());
    }

    static RawPeer connect(int port) throws IOException {
        return new RawPeer(new Socket(InetAddress.getByName("127.0.0.1"), port));
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
    }

    /** Connects and passes the handshake of the connecting side. */
    static RawPeer connectAuthenticated(int port) throws IOException {
        RawPeer peer = connect(port);
        peer.send(peer.hello(Frames.VERSION, peer.read().getChallenge().getNonce()));
        if (!peer.read().hasWelcome()) {
            throw new IOException("no welcome");
        }
        return peer;
    }

    /** Accepts a connection and passes the handshake of the accepting side. */
    static RawPeer acceptAuthenticated(ServerSocket server) throws IOException {
        RawPeer peer = new RawPeer(server.accept());
        peer.send(peer.challenge(Frames.VERSION));
        Hello hello = peer.read().getHello();
        ByteString proof = peer.authenticator.acceptingProof(peer.nonce, hello.getNonce(), identity(), hello.getMac());
        peer.send(Frame.newBuilder()
                .setWelcome(Welcome.newBuilder().setIdentity(identity()).setMac(proof))
                .build());
        return peer;
    }

    static Identity identity() {
        return Identity.newBuilder().setVm("vm-raw").setIncarnation(9).build();
    }

    Frame challenge(int version) {
        return Frame.newBuilder()
                .setChallenge(Challenge.newBuilder().setVersion(version).setNonce(nonce))
                .build();
    }

    Frame hello(int version, ByteString peerNonce) {
        Hello.Builder hello = Hello.newBuilder()
                .setVersion(version)
                .setNonce(nonce)
                .setIdentity(identity())
                .setMac(authenticator.connectingProof(peerNonce, nonce, identity()));
        return Frame.newBuilder().setHello(hello).build();
    }

    void send(Frame frame) throws IOException {
        send(encode(frame));
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    static byte[] encode(Frame frame) {
        byte[] bytes = frame.toByteArray();
        return ByteBuffer.allocate(Frames.LENGTH_BYTES + bytes.length)
                .putInt(bytes.length)
                .put(bytes)
                .array();
    }

    Frame read() throws IOException {
        return Frame.parseFrom(input.readNBytes(input.readInt()));
    }

    /** Reads until the endpoint closes the connection; fails if it does not. */
    void awaitClosed() throws IOException {
        try {
            while (input.read() >= 0) {
                continue;
            }
        } catch (EOFException | SocketException closed) {
            return;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
