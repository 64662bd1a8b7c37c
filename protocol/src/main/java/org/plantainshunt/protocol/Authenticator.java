package org.plantainshunt.protocol;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

import com.google.protobuf.ByteString;
import org.plantainshunt.protocol.wire.Identity;

/**
 * Computes the MACs that prove that a node knows the shared secret.
 *
 * <p>A proof is an HMAC-SHA256 over the role of its sender, the protocol version, the nonces of both sides and the
 * sender's identity, except for the clock reading in it. The role prevents reflection, where a node accepts its own
 * proof sent back to it. The nonces, generated for each connection, prevent replay on another connection. The proof of
 * the accepting side also covers that of the connecting side. Safe for use by any thread.
 */
final class Authenticator {
    /** Length of a nonce, in bytes; random nonces of this length are unique in practice. */
    static final int NONCE_BYTES = 32;

    private static final String ALGORITHM = "HmacSHA256";
    private static final String CONNECTING_ROLE = "plantainshunt connecting side";
    private static final String ACCEPTING_ROLE = "plantainshunt accepting side";

    private final SecretKeySpec key;
    private final SecureRandom random = new SecureRandom();

    Authenticator(String sharedSecret) {
        key = new SecretKeySpec(sharedSecret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /** Generates a random nonce for one connection. */
    ByteString newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return ByteString.copyFrom(nonce);
    }

    /** Returns the proof of the connecting side. */
    ByteString connectingProof(ByteString acceptingNonce, ByteString connectingNonce, Identity identity) {
        return mac(CONNECTING_ROLE, acceptingNonce, connectingNonce, identity, ByteString.EMPTY);
    }

    /** Returns the proof of the accepting side. */
    ByteString acceptingProof(
            ByteString acceptingNonce, ByteString connectingNonce, Identity identity, ByteString connectingProof) {
        return mac(ACCEPTING_ROLE, acceptingNonce, connectingNonce, identity, connectingProof);
    }

    /** Compares two proofs in constant time. */
    static boolean constantTimeEquals(ByteString expected, ByteString received) {
        return MessageDigest.isEqual(expected.toByteArray(), received.toByteArray());
    }

    private ByteString mac(
            String role,
            ByteString acceptingNonce,
            ByteString connectingNonce,
            Identity identity,
            ByteString earlierProof) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeUTF(role);
            output.writeInt(Frames.VERSION);
            writeBytes(output, acceptingNonce);
            writeBytes(output, connectingNonce);
            writeBytes(output, identity.getVmBytes());
            output.writeLong(identity.getIncarnation());
            output.writeBoolean(identity.getDraining());
            output.writeLong(identity.getDocumentNumber());
            writeBytes(output, earlierProof);
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing to memory failed", impossible);
        }
        return sign(bytes.toByteArray());
    }

    /** Writes a length prefix, so that different inputs never have the same encoding. */
    private static void writeBytes(DataOutputStream output, ByteString bytes) throws IOException {
        output.writeInt(bytes.size());
        bytes.writeTo(output);
    }

    private ByteString sign(byte[] bytes) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return ByteString.copyFrom(mac.doFinal(bytes));
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException(ALGORITHM + " is not available", exception);
        }
    }
}
