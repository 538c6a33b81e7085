package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream into whole events, so that a stream that breaks can continue at an event boundary.
 *
 * <p>Not thread-safe. An event ends with an empty line.
 */
final class EventSplitter {

    private static final int INITIAL_BYTES = 512;

    private byte[] pending = new byte[INITIAL_BYTES];
    private int length;
    private int scanned;
    private Optional<String> lastId = Optional.empty();

    /** Adds bytes and returns those that complete events, which may be none. */
    byte[] add(ByteBuf bytes) {
        int added = bytes.readableBytes();
        if (length + added > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(pending.length * 2, length + added));
        }
        bytes.readBytes(pending, length, added);
        length += added;
        int end = 0;
        for (int i = Math.max(1, scanned); i < length; i++) {
            if (pending[i] == '\n'
                    && (pending[i - 1] == '\n' || (i > 1 && pending[i - 1] == '\r' && pending[i - 2] == '\n'))) {
                readId(end, i);
                end = i + 1;
            }
        }
        byte[] whole = Arrays.copyOf(pending, end);
        System.arraycopy(pending, end, pending, 0, length - end);
        length -= end;
        scanned = length;
        return whole;
    }

    /** Returns the bytes after the last whole event and forgets them. */
    byte[] takeIncomplete() {
        byte[] rest = Arrays.copyOf(pending, length);
        length = 0;
        scanned = 0;
        return rest;
    }

    /** Returns the id of the last whole event that had one. */
    Optional<String> lastId() {
        return lastId;
    }

    private void readId(int from, int to) {
        for (int i = from; i + 2 < to; i++) {
            boolean lineStart = i == from || pending[i - 1] == '\n';
            if (lineStart && pending[i] == 'i' && pending[i + 1] == 'd' && pending[i + 2] == ':') {
                int lineEnd = i + 3;
                while (lineEnd < to && pending[lineEnd] != '\n' && pending[lineEnd] != '\r') {
                    lineEnd++;
                }
                lastId = Optional.of(new String(pending, i + 3, lineEnd - i - 3, StandardCharsets.UTF_8).strip());
            }
        }
    }
}
