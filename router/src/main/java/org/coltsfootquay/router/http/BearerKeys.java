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
 * Set of bearer keys, stored as SHA-256 digests; immutable.
 *
 * <p>A lookup compares with every digest in constant time, so that its duration reveals nothing about the keys.
 *
 * @param <T> type of the holder of a key
 */
public final class BearerKeys<T> {

    private static final String SCHEME = "bearer ";

    private final List<byte[]> digests = new ArrayList<>();
    private final List<T> holders = new ArrayList<>();

    /**
     * Creates the set of keys.
     *
     * @param digestsByHolder hexadecimal digests by holder
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
     * @return holder; empty if the header is absent, has another scheme or holds an unknown key
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
            throw new IllegalStateException("the Java runtime does not support SHA-256; use a complete runtime", e);
        }
    }
}
