package org.coltsfootquay.router.owner;

import java.lang.management.ManagementFactory;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import org.coltsfootquay.router.log.EventLog;

/** Thread that runs tasks in the order in which they arrive and a tick at a fixed period while work waits. */
final class DispatchThread {

    private static final EventLog LOG = EventLog.of(DispatchThread.class);

    /** 3,100 requests/s with 5 frames each, all at one owner, fill this queue in 4 s. */
    private static final int CAPACITY = 65_536;

    private static final long TICK_NANOS = 10_000_000L;

    /** Period without waiting requests; grants that lapse and cold starts need no finer one. */
    private static final long IDLE_TICK_NANOS = 50_000_000L;

    private final ManyToOneConcurrentArrayQueue<Runnable> tasks = new ManyToOneConcurrentArrayQueue<>(CAPACITY);
    private final AtomicBoolean parked = new AtomicBoolean();
    private final BooleanSupplier tick;
    private final Thread thread;
    private volatile boolean stopped;

    /**
     * Creates a thread that is not started.
     *
     * @param name name of the thread
     * @param tick run at each period; returns whether work waits
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

    /** Returns the processor time that this thread used. */
    long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getThreadCpuTime(thread.getId());
    }

    /** Queues a task; false when the queue is full and the task was dropped. */
    boolean execute(Runnable task) {
        if (!tasks.offer(task)) {
            LOG.warn("dispatch_queue_full", "capacity", CAPACITY);
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
                guarded(task);
                task = System.nanoTime() - nextTick < 0 ? tasks.poll() : null;
            }
            long now = System.nanoTime();
            if (now - nextTick >= 0) {
                nextTick = now + (guardedTick() ? TICK_NANOS : IDLE_TICK_NANOS);
            }
            park(nextTick);
        }
    }

    private void park(long untilNanos) {
        parked.set(true);
        // A task that was queued before the flag was set must not wait for the next tick.
        if (tasks.isEmpty() && !stopped) {
            LockSupport.parkNanos(this, Math.max(1, untilNanos - System.nanoTime()));
        }
        parked.set(false);
    }

    private boolean guardedTick() {
        try {
            return tick.getAsBoolean();
        } catch (RuntimeException e) {
            failed(e);
            return true;
        }
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            failed(e);
        }
    }

    private static void failed(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        LOG.warn("dispatch_task_failed", "reason", e, "at", trace.length == 0 ? "unknown" : trace[0]);
    }
}
