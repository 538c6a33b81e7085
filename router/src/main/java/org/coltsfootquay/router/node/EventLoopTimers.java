package org.coltsfootquay.router.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.log.EventLog;

/** Timer service whose tasks run on an event loop. */
public final class EventLoopTimers implements TimerService {

    private static final EventLog LOG = EventLog.of(EventLoopTimers.class);

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
        ScheduledFuture<?> scheduled = eventLoop.scheduleWithFixedDelay(
                () -> run(name, task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }

    @Override
    public ScheduledTask scheduleOnce(String name, Duration delay, Runnable task) {
        ScheduledFuture<?> scheduled = eventLoop.schedule(() -> run(name, task), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }

    private static void run(String name, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.warn("task_failed", "task", name, "error", e);
        }
    }
}
