package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.configuration.ConfigurationFreshness;
import org.coltsfootquay.decision.store.StoreConnectivity;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Withdraws the permission for new work while this router is cut off from both the store and its peers.
 *
 * <p>After a cut the permission returns when the configuration was confirmed anew. A router that knows no other router
 * has no peers to lose and keeps the permission. Single-threaded.
 */
public final class AdmissionPermitController {

    private final TimerService timer;
    private final Blackboard blackboard;
    private final RouterId self;
    private final AdmissionPermitSettings settings;
    private TimerService.ScheduledTask subscription;
    private long cutOffNanos = Long.MIN_VALUE / 2;

    /**
     * Creates a controller that does nothing until {@link #start()}.
     *
     * @param timer timer service
     * @param blackboard blackboard that receives {@link AdmissionPermit#TOPIC}
     * @param self identifier of this router
     * @param settings settings
     */
    public AdmissionPermitController(TimerService timer, Blackboard blackboard, RouterId self, AdmissionPermitSettings settings) {
        this.timer = ArgumentUtils.requireValue(timer, "timer");
        this.blackboard = ArgumentUtils.requireValue(blackboard, "blackboard");
        this.self = ArgumentUtils.requireValue(self, "router id");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
    }

    /** Begins to publish the permission. */
    public void start() {
        cutOffNanos = timer.nowNanos();
        subscription = timer.schedulePeriodic("contact", settings.checkPeriod(), this::check);
        blackboard.cell(ShareValidity.TOPIC).subscribe(validity -> check());
        check();
    }

    /**
     * Stops; the last permission ends by itself.
     *
     * @param callback called once
     */
    public void stop(Runnable callback) {
        if (subscription != null) {
            subscription.cancel();
        }
        callback.run();
    }

    private void check() {
        long now = timer.nowNanos();
        long permit = settings.permitDuration().toNanos();
        StoreConnectivity store = blackboard.read(StoreConnectivity.TOPIC);
        long contact = Math.max(
                store.lastAnswerNanos(), blackboard.read(PeerConnectivity.TOPIC).lastMessageNanos());
        boolean alone = knowsNoPeer() && blackboard.read(LeaseState.TOPIC).incarnation() != 0;
        if (alone) {
            contact = now;
        }
        if (now - contact >= permit) {
            cutOffNanos = now;
        }
        long confirmed = blackboard.read(ConfigurationFreshness.TOPIC).confirmedNanos();
        boolean confirmedSinceCut = confirmed >= cutOffNanos;
        long until = confirmedSinceCut || alone ? contact + permit : cutOffNanos;
        until = Math.min(until, blackboard.read(ShareValidity.TOPIC).untilNanos());
        AdmissionPermit old = blackboard.read(AdmissionPermit.TOPIC);
        if (old.untilNanos() != until) {
            blackboard.write(AdmissionPermit.TOPIC, new AdmissionPermit(until));
        }
    }

    private boolean knowsNoPeer() {
        return blackboard.read(MembershipView.TOPIC).members().keySet().stream().allMatch(self::equals);
    }
}
