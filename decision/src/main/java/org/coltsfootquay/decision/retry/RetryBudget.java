package org.coltsfootquay.decision.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Retry budget per service: 10% of the requests of the last 10 s, and one further retry per second.
 *
 * <p>Thread-safe, because the requests of all event loops share it.
 */
public final class RetryBudget implements RetryPolicy {

    /** Share of the requests in the window that may be retried, in percent. */
    static final int RETRY_PERCENT = 10;

    private static final int WINDOW_SECONDS = 10;
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long INITIAL_BACKOFF_NANOS = Duration.ofMillis(50).toNanos();
    private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(2).toNanos();

    private final SplittableRandom random;
    private final Map<ServiceName, Window> windows = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param seed seed of the backoff jitter
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
        long maxDelay = Math.min(MAX_BACKOFF_NANOS, INITIAL_BACKOFF_NANOS << Math.min(16, Math.max(0, retry - 1)));
        long delay = random.nextLong(maxDelay + 1);
        if (deadlineNanos - nowNanos <= delay) {
            return -1;
        }
        Window window = window(service, nowNanos);
        if (100L * (sum(window.retries) + 1) <= (long) RETRY_PERCENT * sum(window.requests)) {
            window.retries[slot(nowNanos)]++;
            return delay;
        }
        if (nowNanos - window.extraRetryNanos >= SECOND_NANOS) {
            window.extraRetryNanos = nowNanos;
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
            window.retries[slot] = 0;
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
        private final int[] retries = new int[WINDOW_SECONDS];
        private long second;
        private long extraRetryNanos;

        private Window(long nowNanos) {
            this.second = Math.floorDiv(nowNanos, SECOND_NANOS);
            this.extraRetryNanos = nowNanos - SECOND_NANOS;
        }
    }
}
