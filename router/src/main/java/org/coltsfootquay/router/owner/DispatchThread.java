package org.coltsfootquay.router.owner;

import java.lang.management.ManagementFactory;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import org.coltsfootquay.router.log.EventLog;

/** Thread that runs queued tasks in order of arrival and a periodic tick, which is slower while no requests wait. */
final class DispatchThread {

    private static final EventLog LOG = EventLog.of(DispatchThread.class);

    /** Queue capacity: 3,100 requests/s with 5 frames each, all at one owner, fill it in 4 s. */
    private static final int QUEUE_CAPACITY = 65_536;

    private static final long TICK_NANOS = 10_000_000L;

    /** Tick period without waiting requests; grant timeouts and cold starts need no shorter one. */
    private static final long IDLE_TICK_NANOS = 50_000_000L;

    private final ManyToOneConcurrentArrayQueue<Runnable> tasks = new ManyToOneConcurrentArrayQueue<>(QUEUE_CAPACITY);
    private final AtomicBoolean parked = new AtomicBoolean();
    private final BooleanSupplier tick;
    private final Thread thread;
    private volatile boolean stopped;

    /**
     * Creates the thread without starting it.
     *
     * @param name name of the thread
     * @param tick action to run once a period; returns whether requests are waiting
     */
    DispatchThread(String name, BooleanSupplier tick) {
        this.tick = tick;
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    void stop() {
        stopped = true;
        LockSupport.unpark(thread);
    }

    /** Returns the CPU time of this thread in nanoseconds. */
    long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getThreadCpuTime(thread.getId());
    }

    /** Queues a task; returns false if the queue is full and the task was dropped. */
    boolean execute(Runnable task) {
        if (!tasks.offer(task)) {
            LOG.warn("dispatch_queue_full", "capacity", QUEUE_CAPACITY);
            return false;
        }
        if (parked.get()) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    private void run() {
        long nextTick = System.nanoTime();
        while (!stopped) {
            Runnable task = tasks.poll();
            while (task != null) {
                runTask(task);
                task = System.nanoTime() - nextTick < 0 ? tasks.poll() : null;
            }
            long now = System.nanoTime();
            if (now - nextTick >= 0) {
                nextTick = now + (runTick() ? TICK_NANOS : IDLE_TICK_NANOS);
            }
            park(nextTick);
        }
    }

    private void park(long untilNanos) {
        parked.set(true);
        // A task queued before the flag was set has not unparked this thread and must not wait for the next tick.
        if (tasks.isEmpty() && !stopped) {
            LockSupport.parkNanos(this, Math.max(1, untilNanos - System.nanoTime()));
        }
        parked.set(false);
    }

    private boolean runTick() {
        try {
            return tick.getAsBoolean();
        } catch (RuntimeException e) {
            logFailure(e);
            return true;
        }
    }

    private static void runTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            logFailure(e);
        }
    }

    private static void logFailure(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        LOG.warn("dispatch_task_failed", "reason", e, "at", trace.length == 0 ? "unknown" : trace[0]);
    }
}
