package org.coltsfootquay.router.peer;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.coltsfootquay.protocol.generated.Hello;

/**
 * Computes and verifies the proof that the sender of a {@code Hello} holds the fleet key.
 *
 * <p>The proof is an HMAC-SHA256 over the role of the sender, both nonces, the protocol version, the identifier, the
 * incarnation and the zone. The role prevents a reflection attack, in which a proof is returned to its sender.
 */
final class HelloAuthenticator {

    /** Size of a nonce in bytes. */
    static final int NONCE_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;
    private final SecureRandom random = new SecureRandom();

    HelloAuthenticator(byte[] fleetKey) {
        this.key = new SecretKeySpec(fleetKey, ALGORITHM);
    }

    ByteString newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return ByteString.copyFrom(nonce);
    }

    ByteString computeProof(Hello hello, boolean fromInitiator, ByteString initiatorNonce, ByteString responderNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update((byte) (fromInitiator ? 1 : 2));
            updateField(mac, initiatorNonce.toByteArray());
            updateField(mac, responderNonce.toByteArray());
            mac.update(ByteBuffer.allocate(Integer.BYTES)
                    .putInt(hello.getProtocolVersion())
                    .array());
            updateField(mac, hello.getRouter().getBytes(StandardCharsets.UTF_8));
            mac.update(ByteBuffer.allocate(Long.BYTES)
                    .putLong(hello.getIncarnation())
                    .array());
            updateField(mac, hello.getZone().getBytes(StandardCharsets.UTF_8));
            return ByteString.copyFrom(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    "this Java runtime does not provide " + ALGORITHM + "; use a complete runtime", e);
        }
    }

    boolean verify(Hello hello, boolean fromInitiator, ByteString initiatorNonce, ByteString responderNonce) {
        byte[] expected = computeProof(hello, fromInitiator, initiatorNonce, responderNonce)
                .toByteArray();
        return MessageDigest.isEqual(expected, hello.getProof().toByteArray());
    }

    /** Prefixes the field with its length, so that different lists of fields never produce the same MAC input. */
    private static void updateField(Mac mac, byte[] field) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
        mac.update(field);
    }
}
