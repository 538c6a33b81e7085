package org.coltsfootquay.decision.retry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * This router's share of the retries that all routers together may send to a service in a sliding window.
 *
 * <p>Not thread-safe. Routers need no messages to stay within the budget: the share of each is a ratio of the requests
 * that it received itself, plus an equal part of a fixed allowance for every registered router.
 */
public final class FleetRetryShare {

    /** Fraction of the budget that is used, since the windows of the routers do not start at the same time. */
    private static final double USED_FRACTION = 0.7;

    /** Fraction of the limit that only retries may use. */
    private static final double RETRY_RESERVE = 0.5;

    private final double ratio;
    private final double allowance;
    private final long windowNanos;
    private final Map<ServiceName, Window> windows = new HashMap<>();

    /**
     * Creates a share without requests or retries.
     *
     * @param ratio retries allowed per request
     * @param allowance retries allowed per window for all routers together, in addition to the ratio
     * @param window length of the sliding window
     */
    public FleetRetryShare(double ratio, double allowance, Duration window) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.windowNanos = ArgumentUtils.requirePositive(window.toNanos(), "window");
    }

    /**
     * Records a request of a caller.
     *
     * @param service service of the request
     * @param nowNanos current time
     */
    public void recordRequest(ServiceName service, long nowNanos) {
        Window window = windows.computeIfAbsent(service, name -> new Window());
        window.drop(nowNanos - windowNanos);
        window.requests.addLast(nowNanos);
    }

    /** Returns the number of requests that are kept for a service. */
    int recordedRequests(ServiceName service) {
        return windows.getOrDefault(service, new Window()).requests.size();
    }

    /**
     * Takes one retry from the budget if one is left.
     *
     * @param service service of the request
     * @param routers number of registered routers
     * @param nowNanos current time
     * @return true if the retry may be sent
     */
    public boolean tryAcquire(ServiceName service, int routers, long nowNanos) {
        return tryAcquire(service, routers, nowNanos, 1);
    }

    /**
     * Takes one retry from the budget for a send that could be omitted, if more is left than the reserve for retries.
     *
     * @param service service of the request
     * @param routers number of registered routers
     * @param nowNanos current time
     * @return true if the request may be sent again
     */
    public boolean tryAcquireAboveReserve(ServiceName service, int routers, long nowNanos) {
        return tryAcquire(service, routers, nowNanos, 1 - RETRY_RESERVE);
    }

    private boolean tryAcquire(ServiceName service, int routers, long nowNanos, double usable) {
        Window window = windows.computeIfAbsent(service, name -> new Window());
        window.drop(nowNanos - windowNanos);
        double limit = USED_FRACTION * (ratio * window.requests.size() + allowance / Math.max(1, routers));
        if (window.retries.size() + 1 > usable * limit) {
            return false;
        }
        window.retries.addLast(nowNanos);
        return true;
    }

    private static final class Window {

        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> retries = new ArrayDeque<>();

        private void drop(long beforeNanos) {
            dropFrom(requests, beforeNanos);
            dropFrom(retries, beforeNanos);
        }

        private static void dropFrom(Deque<Long> times, long beforeNanos) {
            while (!times.isEmpty() && times.peekFirst() < beforeNanos) {
                times.removeFirst();
            }
        }
    }
}
