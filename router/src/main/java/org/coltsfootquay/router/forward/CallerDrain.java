package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.coltsfootquay.decision.shutdown.StopWindow;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Ends the service of callers within a time limit; runs on the event loop.
 *
 * <p>At first, requests that can end in time are still served, since callers keep the address of the router for a
 * while. Then all are rejected as not executed. At the end each caller that still waits gets a response.
 */
public final class CallerDrain {

    /** Some callers use addresses for three times their cache time, according to the platform's documentation. */
    private static final int ADDRESS_OVERUSE_FACTOR = 3;

    /** Time reserved for sending the last bytes of responses before the process ends. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(500);

    /** Time in which the responses at the end are sent; part of the margin. */
    private static final Duration FLUSH_TIME = Duration.ofMillis(200);

    private static final Duration IDLE_CHECK_PERIOD = Duration.ofMillis(50);

    private final CallerConnections callers;
    private final ForwardingContext context;
    private final TimerService timers;
    private final CompletableFuture<String> drained = new CompletableFuture<>();

    /**
     * Creates a drain that has not started.
     *
     * @param callers connections of callers
     * @param context state shared by all requests
     */
    public CallerDrain(CallerConnections callers, ForwardingContext context) {
        this.callers = callers;
        this.context = context;
        this.timers = context.timers();
    }

    /**
     * Starts to drain.
     *
     * @param stopTime time until the process ends
     * @param addressTime time for which callers may cache the address of this router
     * @return completes with the reason, {@code quiet} or {@code deadline}, when the process may end
     */
    public CompletableFuture<String> start(Duration stopTime, Duration addressTime) {
        Duration serviceTime = stopTime.minus(min(STOP_MARGIN, stopTime.dividedBy(2)));
        context.stopAt(new StopWindow(timers.nowNanos() + serviceTime.toNanos()));
        callers.startDraining();
        Duration addressUseTime = min(addressTime.multipliedBy(ADDRESS_OVERUSE_FACTOR), serviceTime.dividedBy(2));
        timers.scheduleOnce("reject new requests", addressUseTime, () -> {
            callers.rejectNewRequests();
            timers.schedulePeriodic("stop check", IDLE_CHECK_PERIOD, () -> {
                if (callers.busyCount() == 0) {
                    drained.complete("quiet");
                }
            });
        });
        timers.scheduleOnce("stop deadline", serviceTime, () -> {
            callers.endRequests();
            timers.scheduleOnce("last responses", FLUSH_TIME, () -> drained.complete("deadline"));
        });
        return drained;
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }
}
