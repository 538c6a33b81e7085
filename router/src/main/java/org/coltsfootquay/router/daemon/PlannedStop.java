package org.coltsfootquay.router.daemon;

import java.time.Duration;
import org.coltsfootquay.decision.control.ControlPlane;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.entry.EntryRouter;
import org.coltsfootquay.router.owner.OwnerRouter;

/** Planned stop of a router; runs on the control thread. */
final class PlannedStop {

    private static final Duration CHECK_PERIOD = Duration.ofMillis(50);

    private final TimerService timer;
    private final ControlPlane plane;
    private final EntryRouter entry;
    private final OwnerRouter owner;
    private final Duration acceptTime;
    private TimerService.Subscription check;
    private long acceptUntilNanos;

    PlannedStop(TimerService timer, ControlPlane plane, EntryRouter entry, OwnerRouter owner, Duration acceptTime) {
        this.timer = timer;
        this.plane = plane;
        this.entry = entry;
        this.owner = owner;
        this.acceptTime = acceptTime;
    }

    /** Begins the stop; the callback runs when nothing is left and the membership has ended. */
    void begin(Runnable ended) {
        acceptUntilNanos = timer.nowNanos() + acceptTime.toNanos();
        plane.membership().leave();
        plane.ownership().leave();
        owner.beginStop();
        check = timer.every("planned stop", CHECK_PERIOD, () -> {
            boolean idle = timer.nowNanos() >= acceptUntilNanos
                    && entry.requests() == 0
                    && !plane.ownership().holdsServers();
            if (idle) {
                check.cancel();
                plane.membership().end(() -> plane.stop(ended));
            }
        });
    }
}
