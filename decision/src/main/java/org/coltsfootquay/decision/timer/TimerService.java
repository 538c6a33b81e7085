package org.coltsfootquay.decision.timer;

import java.time.Duration;

/** Monotonic clock and scheduler; tasks run on the thread that advances the clock. */
public interface TimerService {

    /**
     * Returns the current time of a monotonic clock.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long nowNanos();

    /**
     * Schedules a task to run periodically until it is cancelled.
     *
     * <p>Runs that were missed, for example because the process was paused, are skipped.
     *
     * @param name name of the task, used in error messages
     * @param period time between two runs, greater than zero
     * @param task task to run
     * @return handle of the scheduled task
     */
    ScheduledTask schedulePeriodic(String name, Duration period, Runnable task);

    /**
     * Schedules a task to run once after a delay.
     *
     * @param name name of the task, used in error messages
     * @param delay time until the run, zero or more
     * @param task task to run
     * @return handle of the scheduled task
     */
    ScheduledTask scheduleOnce(String name, Duration delay, Runnable task);

    /** Handle of a scheduled task. */
    interface ScheduledTask {

        /** Cancels the task; has no effect if it was already cancelled or has run. */
        void cancel();
    }
}
