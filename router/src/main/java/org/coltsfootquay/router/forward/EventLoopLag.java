package org.coltsfootquay.router.forward;

import java.time.Duration;
import org.coltsfootquay.decision.timer.TimerService;

/** Detects whether the event loop lags, in which case data that it reads now may have waited long in socket buffers. */
final class EventLoopLag {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** Delay of a tick above which the event loop lags; longer than a usual garbage collection pause. */
    private static final Duration MAX_TICK_DELAY = Duration.ofMillis(100);

    /**
     * Delay of a tick above which the router is overloaded. Callers give up a request that is not read within a second,
     * so most requests that are read after such a delay have lost their callers.
     */
    private static final Duration OVERLOAD_TICK_DELAY = Duration.ofMillis(500);

    /** Minimum delay of a timer; a timer that is set by another timer runs after the sockets are read once more. */
    private static final Duration MIN_TIMER_DELAY = Duration.ofMillis(1);

    /** Time constant of the mean delay; some ticks, so that one long pause does not count as a lasting delay. */
    private static final Duration AVERAGING_TIME = Duration.ofMillis(200);

    private final TimerService timers;
    private long lastTickNanos;

    /**
     * True from a late tick until the next tick on time, since sockets are read in the event loop iterations after the
     * late tick.
     */
    private boolean lastTickLate;

    private boolean lastTickOverloaded;

    private double meanDelayNanos;

    EventLoopLag(TimerService timers) {
        this.timers = timers;
        this.lastTickNanos = timers.nowNanos();
        timers.schedulePeriodic("event loop lag", TICK_INTERVAL, this::tick);
    }

    private void tick() {
        lastTickLate = overdue();
        lastTickOverloaded = overdueBy(OVERLOAD_TICK_DELAY);
        long elapsedNanos = timers.nowNanos() - lastTickNanos;
        long delayNanos = Math.max(0, Math.min(OVERLOAD_TICK_DELAY.toNanos(), elapsedNanos - TICK_INTERVAL.toNanos()));
        meanDelayNanos +=
                (delayNanos - meanDelayNanos) * -Math.expm1(-(double) elapsedNanos / AVERAGING_TIME.toNanos());
        lastTickNanos += elapsedNanos;
    }

    /** Returns the mean delay of the last ticks. */
    Duration meanDelay() {
        return Duration.ofNanos((long) meanDelayNanos);
    }

    /** Returns whether the event loop lags now. */
    boolean lagging() {
        return lastTickLate || overdue();
    }

    /** Returns whether the event loop lags so much that the router should reject new requests. */
    boolean overloaded() {
        return lastTickOverloaded || overdueBy(OVERLOAD_TICK_DELAY);
    }

    private boolean overdue() {
        return overdueBy(MAX_TICK_DELAY);
    }

    private boolean overdueBy(Duration delay) {
        return timers.nowNanos() - lastTickNanos > TICK_INTERVAL.plus(delay).toNanos();
    }

    /**
     * Runs a task immediately, or after all sockets are read once more if the event loop lags.
     *
     * <p>The event loop reads the end of a connection in an iteration after the request. Without the delay, a request
     * whose caller disconnected while the request waited in the socket buffer would be forwarded.
     */
    void runAfterPendingReads(Runnable task) {
        if (!lagging()) {
            task.run();
            return;
        }
        timers.scheduleOnce(
                "first loop iteration",
                MIN_TIMER_DELAY,
                () -> timers.scheduleOnce("second loop iteration", MIN_TIMER_DELAY, task));
    }
}
