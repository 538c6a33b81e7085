package org.coltsfootquay.decision.rollout;

import java.time.Duration;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Roll-out of one service as one router sees it; not thread-safe.
 *
 * <p>The share of the target follows the evidence of the fleet. The status in the store follows the phase: whichever
 * router comes first writes it, and the condition of the write makes all others no-ops.
 */
final class ServiceRollout {

    /** Part of the duration after which the target may be accepted; it is watched for bad responses until then. */
    private static final double ACCEPTANCE_TIME = 0.55;

    /** Part of the duration over which the share grows; so short that the target stays within its share until then. */
    private static final double SHIFT_TIME = 0.08;

    /** Part of the duration at which a target that is not accepted is rolled back. */
    private static final double REJECTION_TIME = 0.9;

    /** Part of the duration until which servers of other versions may end their requests before they stop. */
    private static final double IDLE_TIME = 0.9;

    /** Part of the duration after which a router without contact to most others may roll back. */
    private static final double ISOLATED_TIME = 0.95;

    /** Time for which a router waits for the routers before it in the order to write the status. */
    private static final Duration TURN = Duration.ofMillis(400);

    /** Time between two calls to the store for one service. */
    private static final Duration CALL_INTERVAL = Duration.ofMillis(500);

    /** Longest time between two evaluations of a process that runs; after a longer one others may have decided. */
    private static final Duration MAX_PAUSE = Duration.ofMillis(1500);

    /** Failures of the target in a row after which this router sends it nothing for a time. */
    private static final int FAILURES_IN_ROW = 3;

    /** Part of the time for a roll-back for which they stop it; the fleet's verdict usually follows within it. */
    private static final double LOCAL_STOP = 0.4;

    /** Share of the routers whose rejection of the target a router takes over, since it may hear less than they do. */
    private static final double STOPPED_SHARE = 0.25;

    /** Share of the target in the fleet's recent requests that shows that the fleet shifts. */
    private static final double SHIFTED_SHARE = 0.5;

    private final RolloutStore store;
    private final FleetView fleet;
    private final RolloutListener listener;
    private final RandomGenerator random;
    private final FleetEvidence evidence = new FleetEvidence();
    private final VersionComparison comparison = new VersionComparison(evidence);
    private final CanaryBudget budget;
    private final long learnedNanos;
    private final long rollbackNanos;
    private RolloutOrder order;
    private RolloutPhase phase = RolloutPhase.CANARY;
    private RolloutStatus status = RolloutStatus.NONE;
    private boolean statusKnown;
    private boolean readAgain;
    private long statusReadNanos;
    private boolean calling;
    private long lastCallNanos;
    private long phaseNanos;
    private long lastEvaluatedNanos;
    private int failuresInRow;
    private boolean locallyStopped;
    private long locallyStoppedNanos;
    private boolean peersStopped;
    private boolean withdrawn;

    ServiceRollout(
            RolloutOrder order,
            RolloutSettings settings,
            RolloutStore store,
            FleetView fleet,
            RolloutListener listener,
            RandomGenerator random,
            long nowNanos) {
        this.order = order;
        this.store = store;
        this.fleet = fleet;
        this.listener = listener;
        this.random = random;
        this.budget = new CanaryBudget(settings, fleet.members(), random);
        this.learnedNanos = nowNanos;
        this.rollbackNanos = settings.rollbackTime().toNanos();
        this.phaseNanos = nowNanos;
        this.lastEvaluatedNanos = nowNanos;
        this.lastCallNanos = nowNanos - CALL_INTERVAL.toNanos();
    }

    RolloutOrder order() {
        return order;
    }

    RolloutPhase phase() {
        return phase;
    }

    /** Returns whether an order is the present one, written again, or one for what it has already completed. */
    boolean continues(RolloutOrder newOrder) {
        return order.isRewrittenAs(newOrder) || (phase == RolloutPhase.COMPLETED && isTarget(newOrder.target()));
    }

    /** Continues with an order that was written again after the store lost the status. */
    void rewritten(RolloutOrder newOrder) {
        order = newOrder;
        statusKnown = false;
    }

    /** Records that the operator has removed the order. */
    void withdraw() {
        withdrawn = true;
    }

    boolean withdrawn() {
        return withdrawn;
    }

    /** Returns the responses that the fleet reports for the target or for the other versions. */
    VersionCounts counts(boolean target) {
        return evidence.total(target);
    }

    boolean isTarget(String version) {
        return version.equals(order.target());
    }

    void record(CountKey key, boolean failed, long latency, long nowNanos) {
        evidence.record(key, failed, latency);
        if (key.target()) {
            failuresInRow = failed ? failuresInRow + 1 : 0;
            if (failuresInRow >= FAILURES_IN_ROW) {
                locallyStopped = true;
                locallyStoppedNanos = nowNanos;
            }
        }
    }

    void receive(long incarnation, RolloutReport report, long nowNanos) {
        if (report.revision() == order.revision() && report.era() == order.era()) {
            evidence.receive(incarnation, report, nowNanos);
        }
    }

    RolloutReport report(long nowNanos) {
        boolean stopped = phase == RolloutPhase.STOPPED || isLocallyStopped(nowNanos);
        boolean ended = statusKnown && status.belongsTo(order) && status.state().isFinal();
        return new RolloutReport(
                order.service(), order.era(), order.revision(), stopped, ended ? Map.of() : evidence.local());
    }

    /** Returns the order in which versions are preferred for the next request. */
    Preference preference(boolean othersEligible, long nowNanos) {
        if (withdrawn) {
            return Preference.OTHERS_FIRST;
        }
        return switch (phase) {
            case COMPLETED -> Preference.TARGET_FIRST;
            case STOPPED -> Preference.OTHERS_ONLY;
            case SHIFTING, CANARY -> undecided(othersEligible, nowNanos);
        };
    }

    private Preference undecided(boolean othersEligible, long nowNanos) {
        if (!othersEligible) {
            // The roll-out was completed and the status lost, or all other servers are lost.
            return Preference.TARGET_FIRST;
        }
        if (!statusKnown) {
            return Preference.OTHERS_ONLY;
        }
        if (phase == RolloutPhase.SHIFTING) {
            return random.nextDouble() < shiftedShare(nowNanos) ? Preference.TARGET_FIRST : Preference.OTHERS_FIRST;
        }
        return mayCanary(nowNanos) ? Preference.CANARY_FIRST : Preference.OTHERS_ONLY;
    }

    private boolean mayCanary(long nowNanos) {
        return budget.hasCredit() && !isPaused(nowNanos);
    }

    /** Counts a request; returns false if the version must not get it. */
    boolean trySend(boolean target, boolean othersEligible, long nowNanos) {
        boolean permitted = !target || maySendToTarget(othersEligible, nowNanos);
        if (permitted) {
            budget.recordSent(target);
        }
        return permitted;
    }

    private boolean maySendToTarget(boolean othersEligible, long nowNanos) {
        if (withdrawn) {
            return !othersEligible;
        }
        return switch (phase) {
            case COMPLETED -> true;
            case STOPPED -> false;
            case SHIFTING -> statusKnown || !othersEligible;
            case CANARY -> !othersEligible || (statusKnown && mayCanary(nowNanos));
        };
    }

    private boolean isPaused(long nowNanos) {
        return peersStopped || isLocallyStopped(nowNanos) || nowNanos - lastEvaluatedNanos > MAX_PAUSE.toNanos();
    }

    private boolean isLocallyStopped(long nowNanos) {
        return locallyStopped && nowNanos - locallyStoppedNanos < LOCAL_STOP * rollbackNanos;
    }

    private double shiftedShare(long nowNanos) {
        return (nowNanos - phaseNanos) / (SHIFT_TIME * order.duration().toNanos());
    }

    /** Evaluates the evidence and calls the store if it is this router's turn. */
    void evaluate(long nowNanos) {
        if (nowNanos - lastEvaluatedNanos > MAX_PAUSE.toNanos()) {
            statusKnown = false;
        }
        lastEvaluatedNanos = nowNanos;
        evidence.advance(nowNanos);
        if (locallyStopped && !isLocallyStopped(nowNanos)) {
            locallyStopped = false;
            failuresInRow = 0;
        }
        peersStopped = evidence.stopped(nowNanos) >= Math.max(2, fleet.members() / 10);
        if (withdrawn) {
            return;
        }
        if (phase == RolloutPhase.CANARY || phase == RolloutPhase.SHIFTING) {
            decide(comparison.compare(fleet.members()), nowNanos);
        }
        callStore(nowNanos);
    }

    private void decide(Verdict verdict, long nowNanos) {
        if (verdict.kind() == Verdict.Kind.BAD) {
            enter(RolloutPhase.STOPPED, verdict, nowNanos);
        } else if (evidence.stopped(nowNanos) >= Math.max(2, fleet.members() * STOPPED_SHARE)) {
            enter(RolloutPhase.STOPPED, verdict.because(Verdict.Kind.BAD, "rejected by peers"), nowNanos);
        } else if (phase == RolloutPhase.CANARY) {
            boolean mayShift = statusKnown && hearsMost(nowNanos) && !isPaused(nowNanos);
            if (mayShift && verdict.kind() == Verdict.Kind.GOOD && elapsed(nowNanos) >= ACCEPTANCE_TIME) {
                enter(RolloutPhase.SHIFTING, verdict, nowNanos);
            } else if (mayShift && evidence.recentTargetShare() > SHIFTED_SHARE) {
                enter(RolloutPhase.SHIFTING, verdict.because(Verdict.Kind.GOOD, "accepted by the fleet"), nowNanos);
                phaseNanos -= (long) (SHIFT_TIME * order.duration().toNanos());
            } else if (elapsed(nowNanos) >= REJECTION_TIME) {
                enter(RolloutPhase.STOPPED, verdict, nowNanos);
            }
        }
    }

    private void enter(RolloutPhase next, Verdict verdict, long nowNanos) {
        if (phase != next) {
            phase = next;
            phaseNanos = nowNanos;
            listener.phaseChanged(order, next, verdict);
        }
    }

    private double elapsed(long nowNanos) {
        return (double) (nowNanos - learnedNanos) / order.duration().toNanos();
    }

    private boolean hearsMost(long nowNanos) {
        return 2 * (evidence.reporters(nowNanos) + 1) > fleet.members();
    }

    private void callStore(long nowNanos) {
        if (calling || nowNanos - lastCallNanos < CALL_INTERVAL.toNanos()) {
            return;
        }
        if (!statusKnown || readAgain) {
            read(nowNanos);
            return;
        }
        RolloutState next = shiftEnded(nowNanos) ? RolloutState.COMPLETED : phase.state();
        if (status.belongsTo(order) && (status.state() == next || status.state().isFinal())) {
            return;
        }
        int position = fleet.position(order.revision());
        long turnNanos = phaseNanos + position * TURN.toNanos();
        if (next == RolloutState.COMPLETED) {
            turnNanos += (long) (SHIFT_TIME * order.duration().toNanos());
        }
        boolean isolated =
                !hearsMost(nowNanos) && !(next == RolloutState.ROLLED_BACK && elapsed(nowNanos) >= ISOLATED_TIME);
        if (nowNanos < turnNanos || (isolated && next.isFinal())) {
            return;
        }
        if (position > 0 && statusReadNanos < turnNanos) {
            read(nowNanos);
            return;
        }
        lastCallNanos = nowNanos;
        calling = true;
        listener.statusWritten(order, next);
        // Only a read shows whether the write was applied; its answer may be lost.
        store.write(order, next, status.revision(), () -> {
            calling = false;
            readAgain = true;
        });
    }

    private void read(long nowNanos) {
        lastCallNanos = nowNanos;
        calling = true;
        RolloutOrder asked = order;
        store.read(asked.service(), reply -> {
            calling = false;
            reply.filter(row -> asked.equals(order)).ifPresent(row -> statusRead(row, nowNanos));
        });
    }

    private void statusRead(RolloutStatus row, long atNanos) {
        status = row;
        statusKnown = true;
        readAgain = false;
        statusReadNanos = atNanos;
        if (row.belongsTo(order) && row.state().isFinal()) {
            RolloutPhase last = row.state() == RolloutState.COMPLETED ? RolloutPhase.COMPLETED : RolloutPhase.STOPPED;
            enter(last, comparison.compare(fleet.members()).because(Verdict.Kind.OPEN, "status of the store"), atNanos);
        }
    }

    private boolean shiftEnded(long nowNanos) {
        return phase == RolloutPhase.SHIFTING
                && shiftedShare(nowNanos) >= 1
                && (elapsed(nowNanos) >= IDLE_TIME || fleet.othersIdle(order.service(), order.target()));
    }

    /** Preference among the versions of a service. */
    enum Preference {
        CANARY_FIRST,
        TARGET_FIRST,
        OTHERS_FIRST,
        OTHERS_ONLY
    }
}
