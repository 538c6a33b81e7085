package org.coltsfootquay.decision.shutdown;

import java.time.Duration;

/**
 * Decides which requests a router that stops still takes: those that can end before the router does.
 *
 * @param endNanos time at which requests in progress are ended
 */
public record StopWindow(long endNanos) {

    /**
     * Returns whether a request is worth taking.
     *
     * @param repeatable true if the caller may repeat the request when it is cut off
     * @param limit time after which the request ends at the latest
     * @param expected time after which it is expected to end
     * @param nowNanos current time
     * @return true if the request ends in time; one that must not be repeated has to do so in any case
     */
    public boolean permits(boolean repeatable, Duration limit, Duration expected, long nowNanos) {
        Duration needed = repeatable && expected.compareTo(limit) < 0 ? expected : limit;
        return needed.toNanos() <= endNanos - nowNanos;
    }
}
