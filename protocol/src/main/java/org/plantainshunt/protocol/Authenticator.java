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
 * Computes the proofs that a node knows the shared secret.
 *
 * <p>A proof is an HMAC-SHA256 over the role of its sender, the fresh nonces of both sides and the sender's identity.
 * The role keeps a node from accepting its own proof sent back to it, and the nonces keep a proof from being used on
 * another connection. The proof of the accepting side covers the one of the connecting side too. Safe for use by any
 * thread.
 */
final class Authenticator {
    /** Length of a nonce, in bytes; random nonces of this length do not repeat in practice. */
    static final int NONCE_BYTES = 32;

    private static final String ALGORITHM = "HmacSHA256";
    private static final String CONNECTING_ROLE = "plantainshunt connecting side";
    private static final String ACCEPTING_ROLE = "plantainshunt accepting side";

    private final SecretKeySpec key;
    private final SecureRandom random = new SecureRandom();

    Authenticator(String sharedSecret) {
        key = new SecretKeySpec(sharedSecret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /** Draws a nonce for one connection. */
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

    /** Compares two proofs in a time that does not depend on their content. */
    static boolean same(ByteString expected, ByteString received) {
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

    /** Writes the length first, so that no two different inputs give the same bytes. */
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
            throw new IllegalStateException("every Java platform has " + ALGORITHM, exception);
        }
    }
}
