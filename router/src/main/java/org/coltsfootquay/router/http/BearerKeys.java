package org.coltsfootquay.router.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Bearer keys by their SHA-256 digests; immutable.
 *
 * <p>A look-up compares with every digest in constant time, so that its duration tells nothing about the keys.
 *
 * @param <T> what a key stands for
 */
public final class BearerKeys<T> {

    private static final String SCHEME = "bearer ";

    private final List<byte[]> digests = new ArrayList<>();
    private final List<T> holders = new ArrayList<>();

    /**
     * Creates the keys.
     *
     * @param digestsByHolder digests in hexadecimal by holder
     */
    public BearerKeys(Map<T, List<String>> digestsByHolder) {
        digestsByHolder.forEach((holder, texts) -> texts.forEach(text -> {
            digests.add(HexFormat.of().parseHex(text.toLowerCase(Locale.ROOT)));
            holders.add(holder);
        }));
    }

    /**
     * Finds the holder of the key in a request.
     *
     * @param authorization value of the header {@code Authorization}
     * @return holder, or empty when the header is absent, of another scheme, or its key unknown
     */
    public Optional<T> findHolder(Optional<String> authorization) {
        if (authorization.isEmpty()
                || !authorization.get().toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
            return Optional.empty();
        }
        byte[] digest =
                sha256(authorization.get().substring(SCHEME.length()).strip().getBytes(StandardCharsets.UTF_8));
        int found = -1;
        for (int i = 0; i < digests.size(); i++) {
            if (MessageDigest.isEqual(digest, digests.get(i))) {
                found = i;
            }
        }
        return found < 0 ? Optional.empty() : Optional.of(holders.get(found));
    }

    /**
     * Computes a SHA-256 digest.
     *
     * @param bytes input
     * @return 32 bytes
     */
    public static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime lacks SHA-256; use a complete runtime", e);
        }
    }
}
