package org.coltsfootquay.decision.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Parts of an answer in order, each accepted once.
 *
 * <p>Tokens are kept in one array with their ends: about 9 bytes a token of 5 bytes, so that 5,000 flows of 480 tokens
 * take 22 MB.
 */
final class AnswerBuffer {

    private static final int FIRST_CAPACITY = 64;

    private byte[] data = new byte[0];
    private int length;
    private int[] ends = new int[0];
    private int parts;
    private boolean tokens;
    private long next;

    /**
     * Prepares for the parts of one answer; keeps tokens that an earlier attempt delivered.
     *
     * @param newTokens whether parts are tokens
     */
    void expect(boolean newTokens) {
        if (tokens != newTokens || !newTokens) {
            length = 0;
            parts = 0;
            next = 0;
        }
        tokens = newTokens;
    }

    /**
     * Returns the position of the part that is missing next.
     *
     * @return tokens or bytes accepted
     */
    long next() {
        return next;
    }

    int heldBytes() {
        return length;
    }

    boolean tokens() {
        return tokens;
    }

    /**
     * Accepts the part at the next position.
     *
     * @param part part
     * @param keep whether to keep its data
     */
    void append(byte[] part, boolean keep) {
        next += tokens ? 1 : part.length;
        if (!keep) {
            return;
        }
        if (length + part.length > data.length) {
            data = Arrays.copyOf(data, Math.max(length + part.length, Math.max(FIRST_CAPACITY, 2 * data.length)));
        }
        if (parts == ends.length) {
            ends = Arrays.copyOf(ends, Math.max(FIRST_CAPACITY / 4, 2 * ends.length));
        }
        System.arraycopy(part, 0, data, length, part.length);
        length += part.length;
        ends[parts++] = length;
    }

    List<byte[]> parts() {
        List<byte[]> list = new ArrayList<>(parts);
        int start = 0;
        for (int i = 0; i < parts; i++) {
            list.add(Arrays.copyOfRange(data, start, ends[i]));
            start = ends[i];
        }
        return list;
    }

    List<String> tokenTexts() {
        return tokens
                ? parts().stream()
                        .map(part -> new String(part, StandardCharsets.UTF_8))
                        .toList()
                : List.of();
    }

    byte[] bytes() {
        return Arrays.copyOf(data, length);
    }
}
