package org.coltsfootquay.decision.common;

/** Hash functions that return the same results in every process. */
public final class HashUtils {

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private HashUtils() {}

    /**
     * Returns a 64-bit hash of strings (FNV-1a over UTF-16 code units, followed by a finalizer).
     *
     * @param parts strings; the boundaries between them affect the hash
     * @return hash
     */
    public static long hash(String... parts) {
        long hash = FNV_OFFSET_BASIS;
        for (String part : parts) {
            for (int i = 0; i < part.length(); i++) {
                hash = (hash ^ part.charAt(i)) * FNV_PRIME;
            }
            hash = (hash ^ 0xffff) * FNV_PRIME;
        }
        return mix(hash);
    }

    /**
     * Mixes the bits of a number with the MurmurHash3 finalizer.
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
