package org.coltsfootquay.decision.selection;

import java.time.Duration;
import org.coltsfootquay.decision.backend.BackendEntry;

/**
 * Server that was selected for a request.
 *
 * @param entry server
 * @param prefillTokens prompt tokens that it has to prefill
 * @param waitingTokens prompt tokens of other requests that it prefills before
 * @param expectedLatency expected time to the first event or to the whole response
 * @param constantTime part of that time that depends neither on the size of the request nor on others
 * @param waitTime time for which the request waits for the prefill of others; the number of requests in flight, from
 *     which the wait for a free slot is estimated, is too old in a large fleet to reject requests by it
 * @param meanWaitTime mean of this time over all servers that could get the request
 * @param slotWaitTime time for which the request waits for a free slot, while others are prefilled
 */
public record SelectedServer(
        BackendEntry entry,
        long prefillTokens,
        long waitingTokens,
        Duration expectedLatency,
        Duration constantTime,
        Duration waitTime,
        Duration meanWaitTime,
        Duration slotWaitTime) {

    /**
     * Returns the selection of a server whose latency is not estimated.
     *
     * @param entry server
     * @return selection without expected times
     */
    public static SelectedServer withoutEstimate(BackendEntry entry) {
        return new SelectedServer(
                entry, 0, 0, Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO);
    }

    /**
     * Returns the part of the expected latency that does not depend on the size of the request.
     *
     * @return constant time and wait
     */
    public Duration queueTime() {
        return constantTime.plus(waitTime);
    }

    /**
     * Returns whether the request is expected to wait for a free slot rather than for prefill.
     *
     * @return true if the wait for a slot is longer
     */
    public boolean queuedForSlot() {
        return slotWaitTime.compareTo(waitTime) > 0;
    }
}
