package org.coltsfootquay.router.forward;

import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Bytes that a router accepts from a backend server before it closes the connection.
 *
 * <p>A server in trouble may send bytes without end that are no response.
 *
 * @param headBytes maximum bytes from the dispatch of a request to the end of the head of its response, including
 *     interim responses and responses to other requests
 * @param bodyBytes maximum size of a response that is buffered as a whole
 * @param eventBytes maximum size of one event of a stream
 */
public record ResponseLimits(int headBytes, int bodyBytes, int eventBytes) {

    /** Room for a head of 64 KiB and some late responses to other requests. */
    private static final int DEFAULT_HEAD_BYTES = 256 << 10;

    /** The default limit of request bodies; responses of application servers are some kilobytes. */
    private static final int DEFAULT_BODY_BYTES = 4 << 20;

    /** An event holds a few tokens, at most some kilobytes. */
    private static final int DEFAULT_EVENT_BYTES = 1 << 20;

    /** Limits of a router whose settings contain none. */
    public static final ResponseLimits DEFAULT =
            new ResponseLimits(DEFAULT_HEAD_BYTES, DEFAULT_BODY_BYTES, DEFAULT_EVENT_BYTES);

    /** Validates the values. */
    public ResponseLimits {
        ArgumentUtils.requirePositive(headBytes, "headBytes");
        ArgumentUtils.requirePositive(bodyBytes, "bodyBytes");
        ArgumentUtils.requirePositive(eventBytes, "eventBytes");
    }
}
