package org.coltsfootquay.decision.common;

/** Hash functions whose results are the same in every process. */
public final class HashUtils {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private HashUtils() {}

    /**
     * Returns a 64-bit hash of texts (FNV-1a with a final mix).
     *
     * @param parts texts; the boundaries between them count
     * @return hash
     */
    public static long hash(String... parts) {
        long hash = FNV_OFFSET;
        for (String part : parts) {
            for (int i = 0; i < part.length(); i++) {
                hash = (hash ^ part.charAt(i)) * FNV_PRIME;
            }
            hash = (hash ^ 0xffff) * FNV_PRIME;
        }
        return mix(hash);
    }

    /**
     * Spreads the bits of a number over all bits of the result.
     *
     * @param bits number
     * @return hash
     */
    public static long mix(long bits) {
        long hash = bits;
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
