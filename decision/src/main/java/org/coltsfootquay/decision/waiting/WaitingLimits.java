package org.coltsfootquay.decision.waiting;

import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Bounds of the requests that wait at one router for one service.
 *
 * @param requests maximum number of requests
 * @param bytes maximum size of their bodies
 * @param timeShare part of the time that a request has for which it may wait, at most {@link #MAX_TIME_SHARE}
 * @param minRouters number of routers from which requests wait
 */
public record WaitingLimits(int requests, long bytes, double timeShare, int minRouters) {

    /** Largest part of the time that a request has for which it may wait; its caller may still ask another router. */
    public static final double MAX_TIME_SHARE = 0.125;

    /** Bounds for a deployment that states none. */
    public static final WaitingLimits DEFAULT = new WaitingLimits(256, 16 << 20);

    /** Validates the values. */
    public WaitingLimits {
        ArgumentUtils.requirePositive(requests, "requests");
        ArgumentUtils.requirePositive(bytes, "bytes");
        ArgumentUtils.requireNonNegative(minRouters, "minRouters");
        if (!(timeShare > 0 && timeShare <= MAX_TIME_SHARE)) {
            throw new IllegalArgumentException(
                    "timeShare is " + timeShare + "; use a part above 0 and at most " + MAX_TIME_SHARE);
        }
    }

    /**
     * Creates bounds by which requests may wait for the largest part of their time, whatever the size of the fleet.
     *
     * @param requests maximum number of requests
     * @param bytes maximum size of their bodies
     */
    public WaitingLimits(int requests, long bytes) {
        this(requests, bytes, MAX_TIME_SHARE, 0);
    }
}
