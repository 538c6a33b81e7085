package org.coltsfootquay.decision.timer;

import java.time.Duration;

/** Source of time and of timer callbacks; callbacks run on the thread that advances the service. */
public interface TimerService {

    /**
     * Returns the current time of a monotonic clock.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long nowNanos();

    /**
     * Runs a task repeatedly until the subscription is cancelled.
     *
     * <p>A period that was missed, for example because the process was paused, is not made up for.
     *
     * @param name name of the task, used in error messages
     * @param period time between two runs, greater than zero
     * @param task task to run
     * @return the subscription
     */
    ScheduledTask schedulePeriodic(String name, Duration period, Runnable task);

    /**
     * Runs a task once after a delay.
     *
     * @param name name of the task, used in error messages
     * @param delay time until the run, zero or more
     * @param task task to run
     * @return the subscription
     */
    ScheduledTask scheduleOnce(String name, Duration delay, Runnable task);

    /** Handle of a task that was subscribed. */
    interface ScheduledTask {

        /** Cancels the task; has no effect when it was cancelled before or has run. */
        void cancel();
    }
}
