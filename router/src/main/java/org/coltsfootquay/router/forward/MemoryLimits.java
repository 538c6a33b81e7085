package org.coltsfootquay.router.forward;

import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Bytes that a router holds at the same time for all messages of callers and servers.
 *
 * @param responseBytes bytes of heads, buffered bodies and incomplete events of responses
 */
public record MemoryLimits(long responseBytes) {

    /** Part of the heap for responses; streams need a few kilobytes each, since whole events are passed on. */
    private static final int RESPONSE_DIVISOR = 8;

    /** Validates the values. */
    public MemoryLimits {
        ArgumentUtils.requirePositive(responseBytes, "responseBytes");
    }

    /**
     * Returns the limits of a router whose settings contain none.
     *
     * @param heapBytes maximum size of the heap
     * @return limits
     */
    public static MemoryLimits ofHeap(long heapBytes) {
        return new MemoryLimits(heapBytes / RESPONSE_DIVISOR);
    }
}
