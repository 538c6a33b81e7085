package org.coltsfootquay.router.forward;

import java.time.Duration;
import org.coltsfootquay.decision.route.Route;

/**
 * Times of one request.
 *
 * @param arrivalNanos time of its arrival
 * @param deadlineNanos time until which its caller waits and its route permits it to run
 */
record RequestTimes(long arrivalNanos, long deadlineNanos) {

    /** Part of the remaining time after which a refused caller should return, since later it would give up. */
    private static final int MAX_RETURN_DIVISOR = 3;

    static RequestTimes of(long arrivalNanos, RequestMetadata metadata, Route route) {
        return new RequestTimes(arrivalNanos, deadlineOf(arrivalNanos, metadata, route));
    }

    /** Returns the time until which the caller of a request waits and its route permits it to run. */
    static long deadlineOf(long arrivalNanos, RequestMetadata metadata, Route route) {
        Duration limit = metadata.deadline()
                .filter(deadline -> deadline.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        return arrivalNanos + limit.toNanos();
    }

    Duration waited(long nowNanos) {
        return Duration.ofNanos(nowNanos - arrivalNanos);
    }

    Duration remaining(long nowNanos) {
        return Duration.ofNanos(Math.max(0, deadlineNanos - nowNanos));
    }

    /** Returns the time until which the request may wait at the router for a part of the time that it has. */
    long waitUntilNanos(double timeShare) {
        return arrivalNanos + (long) ((deadlineNanos - arrivalNanos) * timeShare);
    }

    /** Returns the longest time after which a refused caller returns while it has time left. */
    Duration maxReturnTime(long nowNanos) {
        return remaining(nowNanos).dividedBy(MAX_RETURN_DIVISOR);
    }
}
