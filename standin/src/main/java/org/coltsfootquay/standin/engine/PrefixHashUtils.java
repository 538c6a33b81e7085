package org.coltsfootquay.standin.engine;

/** Hashes of the prefixes of a prompt: 64-bit FNV-1a over the first k × 1,024 bytes of its text in UTF-8. */
public final class PrefixHashUtils {

    /** Number of bytes in a block of the prefix cache. */
    public static final int BLOCK_BYTES = 1024;

    static final long START = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private PrefixHashUtils() {}

    /**
     * Returns the hashes of all prefixes that end at a block boundary.
     *
     * @param prompt text of the prompt in UTF-8
     * @return one hash for each full block
     */
    public static long[] hashes(byte[] prompt) {
        long[] hashes = new long[prompt.length / BLOCK_BYTES];
        long hash = START;
        for (int block = 0; block < hashes.length; block++) {
            hash = extend(hash, prompt, block * BLOCK_BYTES, (block + 1) * BLOCK_BYTES);
            hashes[block] = hash;
        }
        return hashes;
    }

    static long extend(long hash, byte[] bytes, int from, int to) {
        long extended = hash;
        for (int i = from; i < to; i++) {
            extended = (extended ^ (bytes[i] & 0xff)) * PRIME;
        }
        return extended;
    }
}
