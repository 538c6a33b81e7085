package org.coltsfootquay.decision.shutdown;

import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.control.ControlPlane;
import org.coltsfootquay.decision.shutdown.ShutdownState.Phase;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Runs the graceful shutdown of this router, which events call a planned stop.
 *
 * <p>The membership row is marked as leaving and the handover of the servers starts immediately. Requests are accepted
 * for as long as a caller may still use a cached address of this router. The row is deleted once the servers are handed
 * over and all requests have ended. Nothing shortens this, and no running request is interrupted. Single-threaded.
 */
public final class ShutdownController {

    private final ControlPlane control;
    private final UnfinishedRequestCounter unfinishedRequests;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final TimelineSink timeline;
    private final ShutdownSettings settings;
    private Phase phase = Phase.RUNNING;
    private long acceptUntilNanos = Long.MAX_VALUE;
    private Runnable callback;
    private TimerService.ScheduledTask scheduledCheck;

    /**
     * Creates a controller, which stays idle until {@link #begin}.
     *
     * @param control control plane of this router
     * @param unfinishedRequests counter of unfinished requests
     * @param timer timer service
     * @param blackboard blackboard that receives {@link ShutdownState#TOPIC}
     * @param timeline sink for timeline events
     * @param settings settings
     */
    public ShutdownController(
            ControlPlane control,
            UnfinishedRequestCounter unfinishedRequests,
            TimerService timer,
            Blackboard blackboard,
            TimelineSink timeline,
            ShutdownSettings settings) {
        this.control = ArgumentUtils.requireValue(control, "control plane");
        this.unfinishedRequests = ArgumentUtils.requireValue(unfinishedRequests, "unfinished request counter");
        this.timer = ArgumentUtils.requireValue(timer, "timer");
        this.blackboard = ArgumentUtils.requireValue(blackboard, "blackboard");
        this.timeline = ArgumentUtils.requireValue(timeline, "timeline");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
    }

    /**
     * Begins the graceful shutdown; further calls have no effect.
     *
     * @param whenEnded invoked once the process may exit
     */
    public void begin(Runnable whenEnded) {
        if (phase != Phase.RUNNING) {
            return;
        }
        callback = ArgumentUtils.requireValue(whenEnded, "callback");
        acceptUntilNanos = timer.nowNanos()
                + settings.addressCacheTime().plus(settings.pollPeriod()).toNanos();
        enter(Phase.ACCEPTING);
        timeline.record(TimelineEvent.of(EventKind.ROUTER_STOPPING, "reason", "planned stop"));
        control.membership().leave();
        control.ownership().leave();
        scheduledCheck = timer.schedulePeriodic("planned stop", settings.checkPeriod(), this::check);
    }

    private void check() {
        long now = timer.nowNanos();
        if (phase == Phase.ACCEPTING && now >= acceptUntilNanos) {
            enter(Phase.DRAINING);
        }
        if (phase == Phase.DRAINING) {
            boolean handoverFinished = !control.ownership().holdsServers()
                    || now - acceptUntilNanos >= settings.handoverTimeout().toNanos();
            if (handoverFinished && unfinishedRequests.count() == 0) {
                end();
            }
        }
    }

    private void end() {
        scheduledCheck.cancel();
        enter(Phase.ENDING);
        control.stopAndDeregister(() -> {
            enter(Phase.ENDED);
            timeline.record(TimelineEvent.of(EventKind.ROUTER_STOPPED, "reason", "planned stop"));
            callback.run();
        });
    }

    private void enter(Phase next) {
        phase = next;
        blackboard.write(ShutdownState.TOPIC, new ShutdownState(phase, acceptUntilNanos));
    }
}
