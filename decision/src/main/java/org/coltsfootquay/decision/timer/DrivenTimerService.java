package org.coltsfootquay.decision.timer;

import java.time.Duration;
import java.util.PriorityQueue;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Timer service whose time is set from outside.
 *
 * <p>Not thread-safe: all calls come from one thread. Tasks that are due at the same time run in the order of their
 * subscription, so that a run can be repeated exactly.
 */
public final class DrivenTimerService implements TimerService {

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowNanos;
    private long nextSequence;

    /**
     * Creates a timer service.
     *
     * @param startNanos initial time in nanoseconds
     */
    public DrivenTimerService(long startNanos) {
        this.nowNanos = startNanos;
    }

    @Override
    public long nowNanos() {
        return nowNanos;
    }

    @Override
    public ScheduledTask schedulePeriodic(String name, Duration period, Runnable task) {
        ArgumentUtils.requirePositive(period.toNanos(), "period of " + name);
        return schedule(period.toNanos(), period.toNanos(), task);
    }

    @Override
    public ScheduledTask scheduleOnce(String name, Duration delay, Runnable task) {
        ArgumentUtils.requireNonNegative(delay.toNanos(), "delay of " + name);
        return schedule(delay.toNanos(), 0, task);
    }

    /**
     * Sets the time and runs the tasks that are due, in order of their due time.
     *
     * <p>All tasks read the new time, so that after a pause no task acts on the time at which it was due.
     *
     * @param newNowNanos new time; a time before the current one leaves the time as it is
     * @return number of tasks that ran
     */
    public int advance(long newNowNanos) {
        int ran = 0;
        nowNanos = Math.max(nowNanos, newNowNanos);
        while (!tasks.isEmpty() && tasks.peek().dueNanos <= newNowNanos) {
            Task task = tasks.poll();
            if (task.cancelled) {
                continue;
            }
            if (task.periodNanos > 0) {
                reschedule(task, newNowNanos);
            }
            task.action.run();
            ran++;
        }
        return ran;
    }

    /**
     * Returns when the next task is due.
     *
     * @return due time in nanoseconds, or {@link Long#MAX_VALUE} when no task is subscribed
     */
    public long nextDueNanos() {
        return tasks.isEmpty() ? Long.MAX_VALUE : tasks.peek().dueNanos;
    }

    private Task schedule(long delayNanos, long periodNanos, Runnable action) {
        ArgumentUtils.requireValue(action, "task");
        Task task = new Task(nowNanos + delayNanos, periodNanos, action, nextSequence++);
        tasks.add(task);
        return task;
    }

    private void reschedule(Task task, long newNowNanos) {

        long elapsedPeriods = (newNowNanos - task.dueNanos) / task.periodNanos;
        task.dueNanos += task.periodNanos * (elapsedPeriods + 1);
        tasks.add(task);
    }

    private static final class Task implements ScheduledTask, Comparable<Task> {

        private final long periodNanos;
        private final Runnable action;
        private final long sequence;
        private long dueNanos;
        private boolean cancelled;

        private Task(long dueNanos, long periodNanos, Runnable action, long sequence) {
            this.dueNanos = dueNanos;
            this.periodNanos = periodNanos;
            this.action = action;
            this.sequence = sequence;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public int compareTo(Task other) {
            int byDue = Long.compare(dueNanos, other.dueNanos);
            return byDue != 0 ? byDue : Long.compare(sequence, other.sequence);
        }
    }
}
