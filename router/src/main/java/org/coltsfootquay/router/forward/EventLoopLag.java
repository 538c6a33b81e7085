package org.coltsfootquay.router.forward;

import java.time.Duration;
import org.coltsfootquay.decision.timer.TimerService;

/** Tells whether the event loop is behind, so that what it reads now may have waited in sockets for long. */
final class EventLoopLag {

    private static final Duration TICK = Duration.ofMillis(50);

    /** Delay of a tick from which the loop counts as behind: more than a usual garbage collection. */
    private static final Duration BEHIND = Duration.ofMillis(100);

    /** Shortest delay of a timer; a timer set by another one runs after the sockets were read again. */
    private static final Duration TURN = Duration.ofMillis(1);

    private final TimerService timers;
    private long tickedNanos;

    /** True from a late tick to the next one in time: sockets are read in the turns after the late tick. */
    private boolean lateTick;

    EventLoopLag(TimerService timers) {
        this.timers = timers;
        this.tickedNanos = timers.nowNanos();
        timers.schedulePeriodic("loop delay", TICK, this::tick);
    }

    private void tick() {
        lateTick = overdue();
        tickedNanos = timers.nowNanos();
    }

    private boolean overdue() {
        return timers.nowNanos() - tickedNanos > TICK.plus(BEHIND).toNanos();
    }

    /**
     * Runs a task at once, or, if the loop is behind, after all sockets were read once more.
     *
     * <p>The end of a connection is read in a turn after the request, so that a request whose caller has left while it
     * waited in the socket would be sent on.
     */
    void runAfterPendingReads(Runnable task) {
        if (!lateTick && !overdue()) {
            task.run();
            return;
        }
        timers.scheduleOnce("next turn", TURN, () -> timers.scheduleOnce("turn after", TURN, task));
    }
}
