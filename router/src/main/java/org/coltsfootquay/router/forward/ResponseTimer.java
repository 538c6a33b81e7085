package org.coltsfootquay.router.forward;

import java.time.Duration;
import org.coltsfootquay.decision.route.Route;
import org.coltsfootquay.decision.route.RouteKind;
import org.coltsfootquay.decision.selection.SelectedServer;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.decision.timer.TimerService.ScheduledTask;

/** Limits the time until a server begins to respond to a request that may be sent elsewhere; runs on the event loop. */
final class ResponseTimer {

    /** Minimum time for the response to an idempotent request: several usual response times. */
    static final Duration MIN_TIMEOUT = Duration.ofMillis(150);

    /** Time beyond the expected latency after which a resumable stream without a response is sent elsewhere. */
    private static final Duration STREAM_MARGIN = Duration.ofMillis(1500);

    private final TimerService timers;
    private final Route route;
    private final Runnable onTimeout;
    private ScheduledTask task;

    /**
     * Creates a timer that does not run.
     *
     * @param timers timer service of the event loop
     * @param route route of the request
     * @param onTimeout runs when the time has passed
     */
    ResponseTimer(TimerService timers, Route route, Runnable onTimeout) {
        this.timers = timers;
        this.route = route;
        this.onTimeout = onTimeout;
    }

    /** Starts the timer for a server, from now on. */
    void start(SelectedServer server) {
        cancel();
        Duration timeout = route.kind() == RouteKind.STREAM
                ? server.expectedLatency().plus(STREAM_MARGIN)
                : longer(MIN_TIMEOUT, route.target());
        task = timers.scheduleOnce("response timeout", timeout, this::run);
    }

    /** Stops the timer if it runs. */
    void cancel() {
        if (task != null) {
            task.cancel();
            task = null;
        }
    }

    private void run() {
        task = null;
        onTimeout.run();
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
