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
final class ResponseBuffer {

    private static final int INITIAL_CAPACITY = 64;

    private byte[] data = new byte[0];
    private int length;
    private int[] partEnds = new int[0];
    private int parts;
    private boolean tokenStream;
    private long nextPosition;

    /**
     * Prepares for the parts of one answer; keeps tokens that an earlier attempt delivered.
     *
     * @param newTokens whether parts are tokens
     */
    void prepare(boolean newTokens) {
        if (tokenStream != newTokens || !newTokens) {
            length = 0;
            parts = 0;
            nextPosition = 0;
        }
        tokenStream = newTokens;
    }

    /**
     * Returns the position of the part that is missing next.
     *
     * @return tokens or bytes accepted
     */
    long nextPosition() {
        return nextPosition;
    }

    int bufferedBytes() {
        return length;
    }

    boolean tokenStream() {
        return tokenStream;
    }

    /**
     * Accepts the part at the next position.
     *
     * @param part part
     * @param keep whether to keep its data
     */
    void append(byte[] part, boolean keep) {
        nextPosition += tokenStream ? 1 : part.length;
        if (!keep) {
            return;
        }
        if (length + part.length > data.length) {
            data = Arrays.copyOf(data, Math.max(length + part.length, Math.max(INITIAL_CAPACITY, 2 * data.length)));
        }
        if (parts == partEnds.length) {
            partEnds = Arrays.copyOf(partEnds, Math.max(INITIAL_CAPACITY / 4, 2 * partEnds.length));
        }
        System.arraycopy(part, 0, data, length, part.length);
        length += part.length;
        partEnds[parts++] = length;
    }

    List<byte[]> parts() {
        List<byte[]> list = new ArrayList<>(parts);
        int start = 0;
        for (int i = 0; i < parts; i++) {
            list.add(Arrays.copyOfRange(data, start, partEnds[i]));
            start = partEnds[i];
        }
        return list;
    }

    List<String> tokenTexts() {
        return tokenStream
                ? parts().stream()
                        .map(part -> new String(part, StandardCharsets.UTF_8))
                        .toList()
                : List.of();
    }

    byte[] bytes() {
        return Arrays.copyOf(data, length);
    }
}
