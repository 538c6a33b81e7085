package org.coltsfootquay.router.forward;

import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Bytes that a router holds at the same time for all messages of callers and servers.
 *
 * @param responseBytes bytes of heads, buffered bodies and incomplete events of responses
 * @param requestBytes bytes of the bodies of requests, from their arrival to the end of the response
 */
public record MemoryLimits(long responseBytes, long requestBytes) {

    /** Part of the heap for responses; streams need a few kilobytes each, since whole events are passed on. */
    private static final int RESPONSE_DIVISOR = 8;

    /** Part of the heap for requests; they are kept whole while they may be sent to another server. */
    private static final int REQUEST_DIVISOR = 4;

    /** Validates the values. */
    public MemoryLimits {
        ArgumentUtils.requirePositive(responseBytes, "responseBytes");
        ArgumentUtils.requirePositive(requestBytes, "requestBytes");
    }

    /**
     * Returns the limits of a router whose settings contain none.
     *
     * @param heapBytes maximum size of the heap
     * @return limits
     */
    public static MemoryLimits ofHeap(long heapBytes) {
        return new MemoryLimits(heapBytes / RESPONSE_DIVISOR, heapBytes / REQUEST_DIVISOR);
    }
}
