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
 * Runs the planned stop of this router.
 *
 * <p>The row is marked as leaving and the servers are handed over at once. Requests are accepted for as long as a
 * caller may still use an address that was given out before. When the servers are handed over and all requests have
 * ended, the row is deleted. Nothing shortens this, and a request that runs is never interrupted. Single-threaded.
 */
public final class ShutdownController {

    private final ControlPlane control;
    private final UnfinishedRequestCounter streams;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final TimelineSink timeline;
    private final ShutdownSettings settings;
    private Phase phase = Phase.RUNNING;
    private long acceptUntilNanos = Long.MAX_VALUE;
    private Runnable callback;
    private TimerService.ScheduledTask subscription;

    /**
     * Creates a controller that does nothing until {@link #begin}.
     *
     * @param control controllers of this router
     * @param streams count of unfinished requests
     * @param timer timer service
     * @param blackboard blackboard that receives {@link ShutdownState#TOPIC}
     * @param timeline receiver of events
     * @param settings settings
     */
    public ShutdownController(
            ControlPlane control,
            UnfinishedRequestCounter streams,
            TimerService timer,
            Blackboard blackboard,
            TimelineSink timeline,
            ShutdownSettings settings) {
        this.control = ArgumentUtils.requireValue(control, "control plane");
        this.streams = ArgumentUtils.requireValue(streams, "stream count");
        this.timer = ArgumentUtils.requireValue(timer, "timer");
        this.blackboard = ArgumentUtils.requireValue(blackboard, "blackboard");
        this.timeline = ArgumentUtils.requireValue(timeline, "timeline");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
    }

    /**
     * Begins the planned stop; a second call changes nothing.
     *
     * @param whenEnded called once when the process may exit
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
        subscription = timer.schedulePeriodic("planned stop", settings.checkPeriod(), this::check);
    }

    private void check() {
        long now = timer.nowNanos();
        if (phase == Phase.ACCEPTING && now >= acceptUntilNanos) {
            enter(Phase.DRAINING);
        }
        if (phase == Phase.DRAINING) {
            boolean handedOver = !control.ownership().holdsServers()
                    || now - acceptUntilNanos >= settings.handoverTimeout().toNanos();
            if (handedOver && streams.count() == 0) {
                end();
            }
        }
    }

    private void end() {
        subscription.cancel();
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
