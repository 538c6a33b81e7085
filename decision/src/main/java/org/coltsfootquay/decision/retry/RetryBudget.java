package org.coltsfootquay.decision.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Retry budget for each service: 10% of the requests of the last 10 s, and beyond that one retry a second.
 *
 * <p>Thread-safe: the flows of all event loops share it.
 */
public final class RetryBudget implements RetryPolicy {

    /** Part of the requests of the window that may be retried, in percent. */
    static final int PERCENT = 10;

    private static final int WINDOW_SECONDS = 10;
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long FIRST_BACKOFF_NANOS = Duration.ofMillis(50).toNanos();
    private static final long LONGEST_BACKOFF_NANOS = Duration.ofSeconds(2).toNanos();

    private final SplittableRandom random;
    private final Map<ServiceName, Window> windows = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param seed seed of the jitter
     */
    public RetryBudget(long seed) {
        this.random = new SplittableRandom(seed);
    }

    @Override
    public synchronized void recordRequest(ServiceName service, long nowNanos) {
        window(service, nowNanos).requests[slot(nowNanos)]++;
    }

    @Override
    public synchronized long tryRetry(ServiceName service, int retry, long deadlineNanos, long nowNanos) {
        long longest = Math.min(LONGEST_BACKOFF_NANOS, FIRST_BACKOFF_NANOS << Math.min(16, Math.max(0, retry - 1)));
        long delay = random.nextLong(longest + 1);
        if (deadlineNanos - nowNanos <= delay) {
            return -1;
        }
        Window window = window(service, nowNanos);
        if (100L * (sum(window.fromBudget) + 1) <= (long) PERCENT * sum(window.requests)) {
            window.fromBudget[slot(nowNanos)]++;
            return delay;
        }
        if (nowNanos - window.floorNanos >= SECOND_NANOS) {
            window.floorNanos = nowNanos;
            return delay;
        }
        return -1;
    }

    private Window window(ServiceName service, long nowNanos) {
        Window window = windows.computeIfAbsent(service, name -> new Window(nowNanos));
        long second = Math.floorDiv(nowNanos, SECOND_NANOS);
        long steps = Math.min(WINDOW_SECONDS, second - window.second);
        for (long i = 1; i <= steps; i++) {
            int slot = (int) Math.floorMod(second - steps + i, (long) WINDOW_SECONDS);
            window.requests[slot] = 0;
            window.fromBudget[slot] = 0;
        }
        window.second = Math.max(window.second, second);
        return window;
    }

    private static int slot(long nowNanos) {
        return (int) Math.floorMod(Math.floorDiv(nowNanos, SECOND_NANOS), (long) WINDOW_SECONDS);
    }

    private static int sum(int[] values) {
        int sum = 0;
        for (int value : values) {
            sum += value;
        }
        return sum;
    }

    private static final class Window {

        private final int[] requests = new int[WINDOW_SECONDS];
        private final int[] fromBudget = new int[WINDOW_SECONDS];
        private long second;
        private long floorNanos;

        private Window(long nowNanos) {
            this.second = Math.floorDiv(nowNanos, SECOND_NANOS);
            this.floorNanos = nowNanos - SECOND_NANOS;
        }
    }
}
