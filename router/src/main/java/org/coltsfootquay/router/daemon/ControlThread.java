package org.coltsfootquay.router.daemon;

import java.lang.management.ManagementFactory;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.decision.timer.DrivenTimerService;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.log.EventLog;

/** Thread that drives the timer service from the monotonic clock and runs the controllers and their callbacks. */
final class ControlThread implements Executor {

    private static final EventLog LOG = EventLog.of(ControlThread.class);

    /** Longest wait without a timer; only bounds the wait when no timer is subscribed. */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final DrivenTimerService timer = new DrivenTimerService(System.nanoTime());
    private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final Thread thread;
    private volatile boolean stopped;

    ControlThread(String name) {
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /** Returns the timer service; to be used on this thread only. */
    TimerService timer() {
        return timer;
    }

    void start() {
        thread.start();
    }

    void stop() {
        stopped = true;
        tasks.add(() -> {});
    }

    /** Returns the processor time that this thread used. */
    long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getThreadCpuTime(thread.getId());
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
    }

    private void run() {
        while (!stopped) {
            runLoggingFailure(() -> timer.advance(System.nanoTime()));
            long wait = Math.max(0, Math.min(MAX_WAIT_NANOS, timer.nextDueNanos() - System.nanoTime()));
            try {
                Runnable task = tasks.poll(wait, TimeUnit.NANOSECONDS);
                if (task != null) {
                    runLoggingFailure(() -> timer.advance(System.nanoTime()));
                    runLoggingFailure(task);
                }
            } catch (InterruptedException e) {
                // Nobody interrupts this thread on purpose; stop() ends it.
                LOG.warn("control_thread_interrupted");
            }
        }
    }

    private static void runLoggingFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            LOG.warn("control_task_failed", "reason", e, "at", trace.length == 0 ? "unknown" : trace[0]);
        }
    }
}
