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
 * @param waitTime time for which the request waits for the prefill of others
 * @param meanWaitTime mean of this time over all servers that could get the request
 * @param slotWaitTime time for which the request waits for a free slot, while others are prefilled; uncertain for a
 *     single server, since the number of its requests in flight is old in a large fleet
 * @param meanSlotWaitTime mean of this time over all servers that could get the request
 */
public record SelectedServer(
        BackendEntry entry,
        long prefillTokens,
        long waitingTokens,
        Duration expectedLatency,
        Duration constantTime,
        Duration waitTime,
        Duration meanWaitTime,
        Duration slotWaitTime,
        Duration meanSlotWaitTime) {

    /**
     * Returns the selection of a server whose latency is not estimated.
     *
     * @param entry server
     * @return selection without expected times
     */
    public static SelectedServer withoutEstimate(BackendEntry entry) {
        return new SelectedServer(
                entry, 0, 0, Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO);
    }

    /**
     * Returns the part of the expected latency that does not depend on the size of the request.
     *
     * @return constant time and wait
     */
    public Duration queueTime() {
        return constantTime.plus(queueWaitTime());
    }

    /**
     * Returns the time for which the request waits behind others. A wait for a slot counts as far as servers have it on
     * average: batches look full to routers that hear late that requests have ended.
     *
     * @return longer one of the waits for prefill and for a slot
     */
    public Duration queueWaitTime() {
        return max(waitTime, slotWaitTime.compareTo(meanSlotWaitTime) < 0 ? slotWaitTime : meanSlotWaitTime);
    }

    /**
     * Returns the mean time for which requests wait behind others.
     *
     * @return longer one of the mean waits for prefill and for a slot
     */
    public Duration meanQueueWaitTime() {
        return max(meanWaitTime, meanSlotWaitTime);
    }

    /**
     * Returns whether the request is expected to wait for a free slot rather than for prefill.
     *
     * @return true if the wait for a slot is longer
     */
    public boolean queuedForSlot() {
        return slotWaitTime.compareTo(waitTime) > 0;
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
