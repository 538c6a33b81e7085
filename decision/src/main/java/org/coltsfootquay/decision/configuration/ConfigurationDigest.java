package org.coltsfootquay.decision.configuration;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Names of configuration objects. */
public final class ConfigurationDigest {

    /** Prefix of the names of configuration objects. */
    public static final String PREFIX = "config/";

    private ConfigurationDigest() {}

    /**
     * Returns the name of the object with the given content.
     *
     * @param content content
     * @return {@code config/} followed by the SHA-256 digest in lower-case hexadecimal
     */
    public static String objectName(byte[] content) {
        try {
            return PREFIX
                    + HexFormat.of()
                            .formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime does not support SHA-256; use a complete runtime", e);
        }
    }
}
