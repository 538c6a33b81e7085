package org.coltsfootquay.router.node;

import java.util.SplittableRandom;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.rollout.FleetView;
import org.coltsfootquay.decision.rollout.RolloutController;
import org.coltsfootquay.decision.rollout.RolloutListener;
import org.coltsfootquay.decision.rollout.RolloutOrder;
import org.coltsfootquay.decision.rollout.RolloutPhase;
import org.coltsfootquay.decision.rollout.RolloutSettings;
import org.coltsfootquay.decision.rollout.RolloutState;
import org.coltsfootquay.decision.rollout.RolloutStore;
import org.coltsfootquay.decision.rollout.Verdict;
import org.coltsfootquay.decision.rollout.VersionCounts;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.forward.ForwardingContext;
import org.coltsfootquay.router.log.EventLog;

/** Connects roll-outs to the state of a router, to its log and to its metrics. */
final class RolloutConnector implements FleetView, RolloutListener {

    private static final EventLog LOG = EventLog.of(RolloutConnector.class);

    private final ForwardingContext forwarding;
    private final TimerService timers;

    private RolloutConnector(ForwardingContext forwarding, TimerService timers) {
        this.forwarding = forwarding;
        this.timers = timers;
    }

    /** Enables roll-outs. */
    static void connect(
            ForwardingContext forwarding, RolloutSettings settings, RolloutStore store, TimerService timers) {
        RolloutConnector connector = new RolloutConnector(forwarding, timers);
        forwarding.enableRollouts(
                new RolloutController(settings, store, connector, connector, new SplittableRandom(), timers));
        LOG.info("rollouts_enabled", "canaryShare", settings.canaryShare());
    }

    @Override
    public int members() {
        return forwarding.peers().members().size();
    }

    @Override
    public int position(long salt) {
        return forwarding.peers().positionAmongHeard(salt);
    }

    @Override
    public boolean othersIdle(ServiceName service, String target) {
        return forwarding.registry().eligible(service, timers.nowNanos()).stream()
                .filter(entry -> !entry.version().equals(target))
                .allMatch(entry -> forwarding.loads().totalLoad(entry.server()).requests() <= 0);
    }

    @Override
    public boolean hasOthers(ServiceName service, String target) {
        return forwarding.registry().eligible(service, timers.nowNanos()).stream()
                .anyMatch(entry -> !entry.version().equals(target));
    }

    @Override
    public void phaseChanged(RolloutOrder order, RolloutPhase phase, Verdict verdict) {
        LOG.info(
                "rollout_phase",
                "service",
                order.service(),
                "target",
                order.target(),
                "revision",
                order.revision(),
                "phase",
                phase,
                "verdict",
                verdict.kind(),
                "reason",
                verdict.reason(),
                "targetRequests",
                verdict.targetRequests(),
                "targetFailures",
                verdict.targetFailures(),
                "otherRequests",
                verdict.otherRequests(),
                "otherFailures",
                verdict.otherFailures(),
                "logLikelihoodRatio",
                verdict.logLikelihoodRatio());
        addGauges(order.service());
    }

    /** Adds the gauges of a service; those that exist are kept. */
    private void addGauges(ServiceName service) {
        String label = "{service=\"" + service + "\"";
        forwarding
                .metrics()
                .gauge(
                        "coltsfootquay_rollout_phase" + label + "}",
                        () -> forwarding
                                .rollouts()
                                .flatMap(rollouts -> rollouts.phase(service))
                                .map(Enum::ordinal)
                                .orElse(-1));
        for (boolean target : new boolean[] {true, false}) {
            String version = label + ",version=\"" + (target ? "target" : "other") + "\"}";
            forwarding
                    .metrics()
                    .gauge(
                            "coltsfootquay_rollout_requests" + version,
                            () -> counts(service, target).requests());
            forwarding
                    .metrics()
                    .gauge(
                            "coltsfootquay_rollout_failures" + version,
                            () -> counts(service, target).failures());
        }
    }

    private VersionCounts counts(ServiceName service, boolean target) {
        return forwarding
                .rollouts()
                .map(rollouts -> rollouts.counts(service, target))
                .orElse(VersionCounts.NONE);
    }

    @Override
    public void statusWritten(RolloutOrder order, RolloutState state) {
        LOG.info(
                "rollout_status_written",
                "service",
                order.service(),
                "target",
                order.target(),
                "revision",
                order.revision(),
                "state",
                state);
        addGauges(order.service());
        forwarding.metrics().count("coltsfootquay_rollout_status_writes_total");
    }
}
