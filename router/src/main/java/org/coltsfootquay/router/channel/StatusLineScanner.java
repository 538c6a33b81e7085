package org.coltsfootquay.router.channel;

import io.netty.buffer.ByteBuf;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Finds an HTTP/1 status line in a sequence of buffers, also when it is split between them.
 *
 * <p>The pattern is {@code HTTP/d.d ddd} followed by a space or a carriage return, where {@code d} is a decimal digit.
 * A status line within a response shows that the response ended early and that another one follows it. Not thread-safe.
 */
public final class StatusLineScanner {

    /** A {@code d} matches a decimal digit, the last character a space or a carriage return. */
    private static final String PATTERN = "HTTP/d.d ddd ";

    /** Length of the pattern in bytes. */
    static final int PATTERN_BYTES = PATTERN.length();

    private int matchedBytes;
    private int endIndex = -1;

    /**
     * Scans the readable bytes of the next buffer and leaves its indexes unchanged.
     *
     * @param buffer bytes that follow those of the previous call
     * @return true if a status line is complete in the bytes of this call and all earlier calls
     * @throws IllegalArgumentException if the buffer is null
     */
    public boolean scan(ByteBuf buffer) {
        ArgumentUtils.requireValue(buffer, "buffer");
        int end = buffer.writerIndex();
        int index = buffer.readerIndex();
        while (index < end && !found()) {
            if (matchedBytes == 0) {
                index = buffer.indexOf(index, end, (byte) 'H');
                if (index < 0) {
                    break;
                }
            }
            byte next = buffer.getByte(index);
            if (matches(PATTERN.charAt(matchedBytes), next)) {
                matchedBytes++;
            } else {
                // Only the first character of the pattern is an H, so no other prefix can match here.
                matchedBytes = next == 'H' ? 1 : 0;
            }
            index++;
            if (found()) {
                endIndex = index;
            }
        }
        return found();
    }

    /**
     * Returns whether the scanned bytes end with a beginning of a status line.
     *
     * @return true if the next bytes may complete a status line
     */
    public boolean withinStatusLine() {
        return matchedBytes > 0 && !found();
    }

    /**
     * Returns where the status line ends.
     *
     * @return index after its last scanned byte, in the buffer that completed it; -1 if none was found
     */
    public int endIndex() {
        return endIndex;
    }

    /**
     * Returns whether a status line was found.
     *
     * @return true once a status line is complete in the scanned bytes
     */
    public boolean found() {
        return matchedBytes == PATTERN_BYTES;
    }

    private boolean matches(char expected, byte actual) {
        if (expected == 'd') {
            return actual >= '0' && actual <= '9';
        }
        return actual == expected || (matchedBytes == PATTERN_BYTES - 1 && actual == '\r');
    }
}
