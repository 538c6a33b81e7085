package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a server-sent event stream into complete events, so that an interrupted stream can be resumed at an event
 * boundary.
 *
 * <p>Not thread-safe. An empty line ends an event.
 */
final class EventSplitter {

    private static final int INITIAL_BYTES = 512;

    /** Size of the buffer after a large event. */
    private static final int MAX_RETAINED_BYTES = 16 << 10;

    /** Digits that fit into a long. */
    private static final int MAX_DIGITS = 18;

    private byte[] buffer = new byte[INITIAL_BYTES];
    private int length;
    private int scannedLength;
    private Optional<String> lastId = Optional.empty();
    private long lastNumber = -1;
    private boolean consecutive;
    private boolean resumed;
    private boolean outOfOrder;

    /** Adds bytes and returns the events that are now complete, as bytes; empty if there are none. */
    byte[] add(ByteBuf bytes) {
        int added = bytes.readableBytes();
        if (length + added > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, length + added));
        }
        bytes.readBytes(buffer, length, added);
        length += added;
        int end = 0;
        for (int i = Math.max(1, scannedLength); i < length; i++) {
            if (buffer[i] == '\n'
                    && (buffer[i - 1] == '\n' || (i > 1 && buffer[i - 1] == '\r' && buffer[i - 2] == '\n'))) {
                readId(end, i);
                end = i + 1;
            }
        }
        byte[] completeEvents = Arrays.copyOf(buffer, end);
        System.arraycopy(buffer, end, buffer, 0, length - end);
        length -= end;
        scannedLength = length;
        if (buffer.length > MAX_RETAINED_BYTES && length <= MAX_RETAINED_BYTES / 2) {
            buffer = Arrays.copyOf(buffer, MAX_RETAINED_BYTES);
        }
        return completeEvents;
    }

    /** Returns the size of the buffer. */
    int capacity() {
        return buffer.length;
    }

    /** Returns the number of bytes after the last complete event. */
    int incompleteBytes() {
        return length;
    }

    /**
     * Returns whether the bytes after the last complete event begin another one. Empty lines and comments do not belong
     * to an event.
     */
    boolean withinEvent() {
        boolean lineStart = true;
        boolean comment = false;
        for (int i = 0; i < length; i++) {
            boolean lineEnd = buffer[i] == '\n' || buffer[i] == '\r';
            comment = lineStart ? buffer[i] == ':' : comment && !lineEnd;
            if (!lineEnd && !comment) {
                return true;
            }
            lineStart = lineEnd;
        }
        return false;
    }

    /** Returns and discards the bytes after the last complete event. */
    byte[] takeIncomplete() {
        byte[] incomplete = Arrays.copyOf(buffer, length);
        length = 0;
        scannedLength = 0;
        return incomplete;
    }

    /** Discards an incomplete event; the next event comes from the server that resumes the stream. */
    void resume() {
        takeIncomplete();
        resumed = true;
    }

    /**
     * Returns whether an event had an id that does not follow the one before: ids increase, and a resumed stream whose
     * ids were consecutive continues without a gap.
     */
    boolean outOfOrder() {
        return outOfOrder;
    }

    /** Returns the id of the last complete event that had one. */
    Optional<String> lastId() {
        return lastId;
    }

    private void readId(int from, int to) {
        for (int i = from; i + 2 < to; i++) {
            boolean lineStart = i == from || buffer[i - 1] == '\n';
            if (lineStart && buffer[i] == 'i' && buffer[i + 1] == 'd' && buffer[i + 2] == ':') {
                int lineEnd = i + 3;
                while (lineEnd < to && buffer[lineEnd] != '\n' && buffer[lineEnd] != '\r') {
                    lineEnd++;
                }
                recordId(new String(buffer, i + 3, lineEnd - i - 3, StandardCharsets.UTF_8).strip());
            }
        }
    }

    private void recordId(String id) {
        lastId = Optional.of(id);
        long number = parseNumber(id);
        if (number < 0) {
            return;
        }
        if (lastNumber >= 0) {
            boolean gap = resumed && consecutive && number != lastNumber + 1;
            outOfOrder |= number <= lastNumber || gap;
            consecutive = number == lastNumber + 1;
        }
        resumed = false;
        lastNumber = number;
    }

    /** Returns the value of an id, or -1 if it is no number. */
    private static long parseNumber(String id) {
        boolean digits =
                !id.isEmpty() && id.length() <= MAX_DIGITS && id.chars().allMatch(c -> c >= '0' && c <= '9');
        return digits ? Long.parseLong(id) : -1;
    }
}
