package org.coltsfootquay.router.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;
import org.coltsfootquay.settings.SettingsObject;

/** Utilities for digests of API keys, which keep the keys themselves out of the settings and the configuration. */
public final class KeyDigestUtils {

    private static final String PREFIX = "sha256:";
    private static final Pattern FORMAT = Pattern.compile(PREFIX + "[0-9a-f]{64}");

    private KeyDigestUtils() {}

    /**
     * Computes the digest of a key.
     *
     * @param key key in plain text
     * @return SHA-256 digest in lower-case hexadecimal
     */
    public static String digest(String key) {
        return digest(key.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Computes the digest of a byte array.
     *
     * @param content bytes to digest
     * @return SHA-256 digest in lower-case hexadecimal
     */
    public static String digest(byte[] content) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "the Java runtime does not provide SHA-256; use a complete Java 17 runtime", e);
        }
    }

    /**
     * Formats a digest for settings and configuration files.
     *
     * @param digest digest in lower-case hexadecimal
     * @return text that {@link #parseDigest} accepts
     */
    public static String format(String digest) {
        return PREFIX + digest;
    }

    static String parseDigest(String text, SettingsObject object, String field) {
        if (!FORMAT.matcher(text).matches()) {
            object.problem(
                    field,
                    "a string of " + text.length() + " characters in another format",
                    "use \"sha256:\" and the 64 digits that 'printf %s KEY | sha256sum' prints");
            return "";
        }
        return text.substring(PREFIX.length());
    }
}
