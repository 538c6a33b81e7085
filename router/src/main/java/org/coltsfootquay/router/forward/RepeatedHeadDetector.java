package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.coltsfootquay.router.channel.StatusLineScanner;

/**
 * Finds, in the body of a response, the head of another response of the same connection; not thread-safe.
 *
 * <p>A server that stops within a body and then sends the response again completes the body with the head of the
 * second one; a late second response to the previous request may also come between two parts of a body. A status line
 * alone is no evidence, since a body may quote one; the id of one of these requests in the lines that follow it is.
 */
final class RepeatedHeadDetector {

    /** Maximum size of a head that is searched for the id. */
    private static final int MAX_HEAD_BYTES = 8192;

    private static final String HEAD_END = "\r\n\r\n";

    private final Set<String> requestIds;
    private StatusLineScanner scanner = new StatusLineScanner();
    private final StringBuilder head = new StringBuilder();
    private boolean found;
    private boolean containsStatusLine;

    /**
     * Creates a detector.
     *
     * @param requestId id of the request whose response is scanned; empty if it has none, so that nothing is found
     */
    RepeatedHeadDetector(String requestId) {
        this(requestId, "");
    }

    /**
     * Creates a detector for a connection that has carried another request before.
     *
     * @param requestId id of the request whose response is scanned; empty if it has none, so that nothing is found
     * @param previousId id of the previous request of the connection; empty if there is none
     */
    RepeatedHeadDetector(String requestId, String previousId) {
        if (requestId.isEmpty()) {
            this.requestIds = Set.of();
        } else if (previousId.isEmpty() || previousId.equals(requestId)) {
            this.requestIds = Set.of(requestId);
        } else {
            this.requestIds = Set.of(requestId, previousId);
        }
    }

    /**
     * Scans the next part of a body; does not change its indexes.
     *
     * @param bytes part of the body
     * @return true if the head of another response to one of the requests was found in the body so far
     */
    boolean scan(ByteBuf bytes) {
        int start = bytes.readerIndex();
        while (start < bytes.writerIndex() && !found && !requestIds.isEmpty()) {
            if (!scanner.found()) {
                if (!scanner.scan(bytes.slice(start, bytes.writerIndex() - start))) {
                    return false;
                }
                containsStatusLine = true;
                start += scanner.endIndex();
            }
            start += addToHead(bytes, start);
        }
        return found;
    }

    /** Returns whether the body scanned so far ends within a head that may belong to another response. */
    boolean withinHead() {
        return !found && (scanner.found() || scanner.withinStatusLine());
    }

    /** Returns whether the body scanned so far contains a status line, which it may only quote. */
    boolean containsStatusLine() {
        return containsStatusLine;
    }

    /** Adds bytes to the head in question and returns how many of them belong to it. */
    private int addToHead(ByteBuf bytes, int start) {
        int length = Math.min(bytes.writerIndex() - start, MAX_HEAD_BYTES - head.length());
        int before = head.length();
        head.append(bytes.toString(start, length, StandardCharsets.ISO_8859_1));
        int end = head.indexOf(HEAD_END, Math.max(0, before - HEAD_END.length()));
        if (end >= 0) {
            head.setLength(end + HEAD_END.length());
        }
        String completeLines = head.substring(0, head.lastIndexOf("\n") + 1);
        found = completeLines.lines().skip(1).anyMatch(this::bearsRequestId);
        int added = head.length() - before;
        if (end >= 0 || head.length() >= MAX_HEAD_BYTES) {
            scanner = new StatusLineScanner();
            head.setLength(0);
        }
        return added;
    }

    private boolean bearsRequestId(String line) {
        int colon = line.indexOf(':');
        return colon > 0 && requestIds.contains(line.substring(colon + 1).strip());
    }
}
