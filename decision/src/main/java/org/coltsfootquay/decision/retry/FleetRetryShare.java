package org.coltsfootquay.decision.retry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * This router's part of the repeats that all routers together may send to a service in a sliding window.
 *
 * <p>Not thread-safe. The part is safe without messages: a share of the requests this router has taken itself, and an
 * equal part of the fixed allowance for each registered router.
 */
public final class FleetRetryShare {

    /** Part of the budget that is used, since windows of the routers do not begin at the same moment. */
    private static final double USED_PART = 0.7;

    private final double ratio;
    private final double allowance;
    private final long windowNanos;
    private final Map<ServiceName, Window> windows = new HashMap<>();

    /**
     * Creates the share.
     *
     * @param ratio repeats allowed for each request
     * @param allowance repeats allowed in a window for all routers together, beside the ratio
     * @param window length of the sliding window
     */
    public FleetRetryShare(double ratio, double allowance, Duration window) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.windowNanos = ArgumentUtils.requirePositive(window.toNanos(), "window");
    }

    /**
     * Notes a request of a caller.
     *
     * @param service service of the request
     * @param nowNanos current time
     */
    public void recordRequest(ServiceName service, long nowNanos) {
        windows.computeIfAbsent(service, name -> new Window()).requests.addLast(nowNanos);
    }

    /**
     * Takes a repeat from the budget if there is one.
     *
     * @param service service of the request
     * @param routers number of registered routers
     * @param nowNanos current time
     * @return true if the repeat may be sent
     */
    public boolean tryAcquire(ServiceName service, int routers, long nowNanos) {
        Window window = windows.computeIfAbsent(service, name -> new Window());
        window.drop(nowNanos - windowNanos);
        double limit = USED_PART * (ratio * window.requests.size() + allowance / Math.max(1, routers));
        if (window.repeats.size() + 1 > limit) {
            return false;
        }
        window.repeats.addLast(nowNanos);
        return true;
    }

    private static final class Window {

        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> repeats = new ArrayDeque<>();

        private void drop(long beforeNanos) {
            dropFrom(requests, beforeNanos);
            dropFrom(repeats, beforeNanos);
        }

        private static void dropFrom(Deque<Long> times, long beforeNanos) {
            while (!times.isEmpty() && times.peekFirst() < beforeNanos) {
                times.removeFirst();
            }
        }
    }
}
