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
 * Proof that the sender of a {@code Hello} holds the fleet key.
 *
 * <p>HMAC-SHA256 over the role of the sender, both nonces, the protocol version, the identifier, the incarnation and
 * the zone. The role prevents that a proof is sent back to its author.
 */
final class HelloAuthenticator {

    /** Bytes of a nonce. */
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

    ByteString computeProof(Hello hello, boolean fromConnector, ByteString connectorNonce, ByteString acceptorNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update((byte) (fromConnector ? 1 : 2));
            updateField(mac, connectorNonce.toByteArray());
            updateField(mac, acceptorNonce.toByteArray());
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
            throw new IllegalStateException("this Java runtime lacks " + ALGORITHM + "; use a complete runtime", e);
        }
    }

    boolean verify(Hello hello, boolean fromConnector, ByteString connectorNonce, ByteString acceptorNonce) {
        byte[] expected =
                computeProof(hello, fromConnector, connectorNonce, acceptorNonce).toByteArray();
        return MessageDigest.isEqual(expected, hello.getProof().toByteArray());
    }

    /** Prefixes the field with its length, so that two different lists of fields never give the same input. */
    private static void updateField(Mac mac, byte[] field) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
        mac.update(field);
    }
}
