package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.configuration.ConfigurationFreshness;
import org.coltsfootquay.decision.store.StoreConnectivity;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Withdraws the admission permit while this router is disconnected from both the store and its peers.
 *
 * <p>After a disconnection, the permit returns once the configuration was confirmed again. A router that knows no other
 * router has no peers to lose and keeps the permit. Single-threaded.
 */
public final class AdmissionPermitController {

    private final TimerService timer;
    private final Blackboard blackboard;
    private final RouterId self;
    private final AdmissionPermitSettings settings;
    private TimerService.ScheduledTask scheduledCheck;
    private long disconnectedNanos = Long.MIN_VALUE / 2;

    /**
     * Creates a controller, which stays idle until {@link #start()}.
     *
     * @param timer timer service
     * @param blackboard blackboard that receives {@link AdmissionPermit#TOPIC}
     * @param self identifier of this router
     * @param settings settings
     */
    public AdmissionPermitController(
            TimerService timer, Blackboard blackboard, RouterId self, AdmissionPermitSettings settings) {
        this.timer = ArgumentUtils.requireValue(timer, "timer");
        this.blackboard = ArgumentUtils.requireValue(blackboard, "blackboard");
        this.self = ArgumentUtils.requireValue(self, "router id");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
    }

    /** Starts publishing the permit. */
    public void start() {
        disconnectedNanos = timer.nowNanos();
        scheduledCheck = timer.schedulePeriodic("contact", settings.checkPeriod(), this::check);
        blackboard.cell(ShareValidity.TOPIC).subscribe(validity -> check());
        check();
    }

    /**
     * Stops the controller; the last published permit ends by itself.
     *
     * @param callback invoked once
     */
    public void stop(Runnable callback) {
        if (scheduledCheck != null) {
            scheduledCheck.cancel();
        }
        callback.run();
    }

    private void check() {
        long now = timer.nowNanos();
        long permitNanos = settings.permitDuration().toNanos();
        StoreConnectivity store = blackboard.read(StoreConnectivity.TOPIC);
        long lastConnectedNanos = Math.max(
                store.lastResponseNanos(),
                blackboard.read(PeerConnectivity.TOPIC).lastMessageNanos());
        boolean hasNoPeers = knowsNoPeers() && blackboard.read(LeaseState.TOPIC).incarnation() != 0;
        if (hasNoPeers) {
            lastConnectedNanos = now;
        }
        if (now - lastConnectedNanos >= permitNanos) {
            disconnectedNanos = now;
        }
        long confirmedNanos = blackboard.read(ConfigurationFreshness.TOPIC).confirmedNanos();
        boolean confirmedSinceDisconnection = confirmedNanos >= disconnectedNanos;
        long untilNanos =
                confirmedSinceDisconnection || hasNoPeers ? lastConnectedNanos + permitNanos : disconnectedNanos;
        untilNanos = Math.min(untilNanos, blackboard.read(ShareValidity.TOPIC).untilNanos());
        AdmissionPermit old = blackboard.read(AdmissionPermit.TOPIC);
        if (old.untilNanos() != untilNanos) {
            blackboard.write(AdmissionPermit.TOPIC, new AdmissionPermit(untilNanos));
        }
    }

    private boolean knowsNoPeers() {
        return blackboard.read(MembershipView.TOPIC).members().keySet().stream().allMatch(self::equals);
    }
}
