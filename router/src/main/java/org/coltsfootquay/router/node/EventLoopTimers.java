package org.coltsfootquay.router.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.log.EventLog;

/**
 * Timer service whose tasks run on an event loop.
 *
 * <p>After a pause of the process, an event loop may run overdue tasks before it reads its sockets. A task that is late
 * therefore runs in a later iteration, so that no timeout expires whose response was received in time.
 */
public final class EventLoopTimers implements TimerService {

    private static final EventLog LOG = EventLog.of(EventLoopTimers.class);

    /** Delay above which a task is late; longer than a usual garbage collection pause. */
    private static final long MAX_DELAY_NANOS = Duration.ofMillis(100).toNanos();

    /** Minimum delay of a task; one that is scheduled by another task runs after the sockets are read. */
    private static final Duration MIN_DELAY = Duration.ofMillis(1);

    private final EventLoop eventLoop;

    /**
     * Creates a timer service.
     *
     * @param eventLoop event loop
     */
    public EventLoopTimers(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public ScheduledTask schedulePeriodic(String name, Duration period, Runnable task) {
        LoopTask loopTask = new LoopTask(name, task, period);
        loopTask.future =
                eventLoop.scheduleWithFixedDelay(loopTask, period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
        return loopTask;
    }

    @Override
    public ScheduledTask scheduleOnce(String name, Duration delay, Runnable task) {
        LoopTask loopTask = new LoopTask(name, task, delay);
        loopTask.future = eventLoop.schedule(loopTask, delay.toNanos(), TimeUnit.NANOSECONDS);
        return loopTask;
    }

    /** Task that is due some time after it was created or has run. */
    private final class LoopTask implements Runnable, ScheduledTask {

        private final String name;
        private final Runnable task;
        private final Duration delay;
        private long dueNanos;
        private volatile ScheduledFuture<?> future;
        private volatile boolean cancelled;

        private LoopTask(String name, Runnable task, Duration delay) {
            this.name = name;
            this.task = task;
            this.delay = delay;
            this.dueNanos = nowNanos() + delay.toNanos();
        }

        @Override
        public void run() {
            // A task with the minimum delay only waits for the sockets to be read.
            boolean late = delay.compareTo(MIN_DELAY) > 0 && nowNanos() - dueNanos > MAX_DELAY_NANOS;
            if (late) {
                var unused = eventLoop.schedule(this::runNow, MIN_DELAY.toNanos(), TimeUnit.NANOSECONDS);
            } else {
                runNow();
            }
            dueNanos = nowNanos() + delay.toNanos();
        }

        private void runNow() {
            if (cancelled) {
                return;
            }
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.warn("task_failed", "task", name, "error", e);
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
            ScheduledFuture<?> scheduled = future;
            if (scheduled != null) {
                scheduled.cancel(false);
            }
        }
    }
}
