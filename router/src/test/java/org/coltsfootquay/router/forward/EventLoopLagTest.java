package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.coltsfootquay.decision.timer.TimerService;
import org.junit.jupiter.api.Test;

/** Guards against requests that start before the end of their connection was read, and against a delay without need. */
final class EventLoopLagTest {

    private final StalledTimers timers = new StalledTimers();
    private final EventLoopLag delay = new EventLoopLag(timers);
    private int runs;

    @Test
    void taskRunsAtOnceWhileTheLoopKeepsUp() {
        timers.now = Duration.ofMillis(150).toNanos();
        delay.runAfterPendingReads(() -> runs++);
        assertEquals(1, runs);
    }

    @Test
    void taskRunsAfterTwoTurnsWhenTheLoopIsBehind() {
        timers.now = Duration.ofMillis(151).toNanos();
        delay.runAfterPendingReads(() -> runs++);
        timers.turn();
        assertEquals(0, runs);
        timers.turn();
        assertEquals(1, runs);
    }

    /** A connection that was made during the stall is accepted in one turn and read in a later one. */
    @Test
    void lateTickDoesNotEndTheDelay() {
        timers.now = Duration.ofSeconds(3).toNanos();
        timers.tick.run();
        delay.runAfterPendingReads(() -> runs++);
        assertEquals(0, runs);
    }

    @Test
    void tickInTimeEndsTheDelay() {
        timers.now = Duration.ofSeconds(3).toNanos();
        timers.tick.run();
        timers.now += Duration.ofMillis(50).toNanos();
        timers.tick.run();
        delay.runAfterPendingReads(() -> runs++);
        assertEquals(1, runs);
    }

    /** Timers of an event loop that does not turn until the test says so. */
    private static final class StalledTimers implements TimerService {

        private final Deque<Runnable> tasks = new ArrayDeque<>();
        private Runnable tick;
        private long now;

        @Override
        public long nowNanos() {
            return now;
        }

        @Override
        public ScheduledTask schedulePeriodic(String name, Duration period, Runnable task) {
            tick = task;
            return () -> {};
        }

        @Override
        public ScheduledTask scheduleOnce(String name, Duration time, Runnable task) {
            tasks.add(task);
            return () -> {};
        }

        private void turn() {
            Deque<Runnable> due = new ArrayDeque<>(tasks);
            tasks.clear();
            due.forEach(Runnable::run);
        }
    }
}
