package org.coltsfootquay.decision.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.fairness.FairnessUtils;
import org.coltsfootquay.decision.fairness.ServiceTotals;

/**
 * Weighted fair queueing between workspaces; among the eligible workspaces, the one with the earliest deadline is
 * served first.
 *
 * <p>With fleet totals, the weight of a workspace decreases exponentially with the service it received above the fleet
 * mean. Without them every weight is 1. Workspaces that consume less than their reserved rate precede all others.
 *
 * <p>The estimated service of a request is charged when the request is granted, and corrected when it ends. Charging
 * service as it is produced would add the duration of a request (28 s at the target) to the delay of the control
 * loop, which oscillates once that delay exceeds about 1.6 times the age of the totals plus one second.
 */
final class FairQueueingPolicy implements SchedulingPolicy {

    /** Weight of a new sample in the exponential moving average of the request size. */
    private static final double QUANTUM_SMOOTHING = 0.05;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Time constant of the consumption rate that is compared with the reserved rate. */
    private static final double RATE_TIME_CONSTANT_SECONDS = 10;

    private static final Comparator<SchedulingState> BY_VIRTUAL_START = Comparator.<SchedulingState>comparingDouble(
                    state -> state.virtualStart)
            .thenComparing(state -> state.queue.workspace);
    private static final Comparator<SchedulingState> BY_ELIGIBILITY = Comparator.<SchedulingState>comparingDouble(
                    state -> state.virtualEligibleTime)
            .thenComparing(state -> state.queue.workspace);
    private static final Comparator<SchedulingState> BY_DEADLINE = Comparator.<SchedulingState>comparingLong(
                    state -> state.headDeadline)
            .thenComparingLong(state -> state.headSequence);
    private static final Comparator<SchedulingState> BY_EXCESS = Comparator.<SchedulingState>comparingDouble(
                    state -> -state.excess)
            .thenComparing(state -> state.queue.workspace);

    private final boolean useTotals;
    private final Map<WorkspaceId, SchedulingState> states = new HashMap<>();

    /** States with waiting requests that are not in {@link #reserved}. */
    private final TreeSet<SchedulingState> byVirtualStart = new TreeSet<>(BY_VIRTUAL_START);

    private final TreeSet<SchedulingState> pending = new TreeSet<>(BY_ELIGIBILITY);
    private final TreeSet<SchedulingState> eligible = new TreeSet<>(BY_DEADLINE);
    private final TreeSet<SchedulingState> reserved = new TreeSet<>(BY_DEADLINE);

    /** Times at which the consumption of a workspace is expected to fall below its reserved rate again. */
    private final PriorityQueue<ReservedCheck> reservedChecks =
            new PriorityQueue<>(Comparator.comparingLong(ReservedCheck::dueNanos));

    /** States by descending excess; leading ones without requests in flight are removed lazily. */
    private final TreeSet<SchedulingState> byExcess = new TreeSet<>(BY_EXCESS);

    private double virtualTime;
    private double quantum;
    private double weightSum;
    private int waiting;
    private ServiceTotals.Totals totals;

    private record ReservedCheck(SchedulingState state, long dueNanos) {}

    FairQueueingPolicy(boolean useTotals) {
        this.useTotals = useTotals;
    }

    @Override
    public Comparator<WaitingRequest> requestOrder() {
        return WaitingRequest.BY_DEADLINE;
    }

    @Override
    public void queueChanged(WorkspaceQueue queue, long nowNanos) {
        reinsert(state(queue), nowNanos);
    }

    @Override
    public WorkspaceQueue nextQueue(long nowNanos) {
        runReservedChecks(nowNanos);
        while (!reserved.isEmpty()) {
            SchedulingState earliest = reserved.first();
            if (belowReserved(earliest, nowNanos)) {
                return earliest.queue;
            }
            reinsert(earliest, nowNanos);
        }
        if (byVirtualStart.isEmpty()) {
            return null;
        }
        virtualTime = Math.max(virtualTime, byVirtualStart.first().virtualStart);
        while (!pending.isEmpty() && pending.first().virtualEligibleTime <= virtualTime) {
            SchedulingState state = pending.pollFirst();
            state.status = SchedulingState.Status.ELIGIBLE;
            eligible.add(state);
        }
        return eligible.first().queue;
    }

    @Override
    public void granted(WorkspaceQueue queue, long estimatedUnits, long nowNanos) {
        quantum = quantum == 0 ? estimatedUnits : quantum + QUANTUM_SMOOTHING * (estimatedUnits - quantum);
        charge(queue, estimatedUnits, estimatedUnits, nowNanos);
    }

    /**
     * Corrects the charged service; with fleet totals the virtual start is unchanged.
     *
     * <p>The weight may have changed since the grant by a factor of up to 4,096, so a refund of part of a request at
     * the current weight could be worth many requests. The correction takes effect through the weight instead.
     */
    @Override
    public void corrected(WorkspaceQueue queue, long differenceUnits, long nowNanos) {
        charge(queue, differenceUnits, useTotals ? 0 : differenceUnits, nowNanos);
    }

    /** Advances only the virtual start, so that one probe does not take all its requests from the same workspace. */
    @Override
    public void redirected(WorkspaceQueue queue, long estimatedUnits, long nowNanos) {
        SchedulingState state = state(queue);
        remove(state);
        state.virtualStart += estimatedUnits / state.weight;
        insert(state, nowNanos);
    }

    @Override
    public void totalsChanged(ServiceTotals.Totals newTotals, long nowNanos) {
        if (!useTotals) {
            return;
        }
        totals = newTotals;
        List<SchedulingState> waitingStates = new ArrayList<>(byVirtualStart);
        waitingStates.addAll(reserved);
        for (SchedulingState state : states.values()) {
            state.charged.removeBefore(newTotals.asOfNanos());
            state.offset = newTotals.offsets().getOrDefault(state.queue.workspace, 0L);
            long fleet = newTotals.consumedPerSecond().getOrDefault(state.queue.workspace, 0L);
            state.otherOwnersPerSecond = Math.max(0, fleet - state.localRate.perSecond(nowNanos));
        }
        for (SchedulingState state : waitingStates) {
            remove(state);
            refreshWeight(state, nowNanos);
            insert(state, nowNanos);
        }
        byExcess.clear();
        states.values().forEach(this::updateExcess);
        reservedChecks.clear();
        waitingStates.forEach(state -> scheduleReservedCheck(state, nowNanos));
    }

    @Override
    public double grantsAhead(WorkspaceQueue queue, long nowNanos) {
        SchedulingState state = state(queue);
        if (belowReserved(state, nowNanos)) {
            return reserved.size() + queue.size();
        }
        double others = weightSum - state.countedWeight;
        double fair = (queue.size() + 1) * (others + state.weight) / state.weight;
        return Math.min(waiting + 1.0, fair);
    }

    @Override
    public List<WorkspaceQueue> reservedQueues(int maxCount, long nowNanos) {
        List<WorkspaceQueue> queues = new ArrayList<>();
        for (SchedulingState state : reserved) {
            if (queues.size() == maxCount) {
                break;
            }
            if (belowReserved(state, nowNanos)) {
                queues.add(state.queue);
            }
        }
        return queues;
    }

    @Override
    public Iterator<WorkspaceQueue> overServed(long nowNanos) {
        while (!byExcess.isEmpty() && byExcess.first().queue.inFlight.isEmpty()) {
            byExcess.pollFirst();
        }
        return byExcess.stream()
                .filter(state -> !state.queue.inFlight.isEmpty() && !belowReserved(state, nowNanos))
                .map(state -> state.queue)
                .iterator();
    }

    private void charge(WorkspaceQueue queue, long units, long virtualUnits, long now) {
        SchedulingState state = state(queue);
        byExcess.remove(state);
        remove(state);
        state.virtualStart = Math.max(
                state.virtualStart, state.status == SchedulingState.Status.IDLE ? virtualTime : state.virtualStart);
        refreshWeight(state, now);
        state.virtualStart += virtualUnits / state.weight;
        state.charged.add(units, now);
        state.localRate.add((double) units, now);
        insert(state, now);
        updateExcess(state);
        scheduleReservedCheck(state, now);
    }

    private void updateExcess(SchedulingState state) {
        state.excess = state.currentExcess();
        byExcess.add(state);
    }

    /**
     * Recomputes the weight; the state must not be in any sorted set.
     *
     * <p>The lead over the virtual time is preserved in service units. If it were preserved in virtual time, a
     * workspace that was served at weight 1/64 would still wait long after the totals show it below the mean.
     */
    private void refreshWeight(SchedulingState state, long now) {
        double previousWeight = state.weight;
        if (totals != null) {
            double scale = FairnessUtils.errorScale(totals.fleetRate(), now - totals.asOfNanos(), totals.backlogged());
            state.weight = FairnessUtils.weight(state.currentExcess(), scale);
            double lead = Math.max(0, state.virtualStart - virtualTime);
            state.virtualStart = virtualTime + lead * previousWeight / state.weight;
        }
    }

    private SchedulingState state(WorkspaceQueue queue) {
        SchedulingState known = states.get(queue.workspace);
        if (known != null) {
            return known;
        }
        SchedulingState state = new SchedulingState(queue);
        states.put(queue.workspace, state);
        if (totals != null) {
            state.offset = totals.offsets().getOrDefault(queue.workspace, 0L);
            state.otherOwnersPerSecond = totals.consumedPerSecond().getOrDefault(queue.workspace, 0L);
        }
        return state;
    }

    private void reinsert(SchedulingState state, long now) {
        boolean wasIdle = state.status == SchedulingState.Status.IDLE;
        remove(state);
        if (wasIdle && !state.queue.isEmpty()) {
            state.virtualStart = Math.max(state.virtualStart, virtualTime);
            refreshWeight(state, now);
        }
        insert(state, now);
    }

    private void remove(SchedulingState state) {
        switch (state.status) {
            case RESERVED -> reserved.remove(state);
            case ELIGIBLE -> eligible.remove(state);
            case PENDING -> pending.remove(state);
            default -> {
                // An idle state is in none of these sets.
            }
        }
        byVirtualStart.remove(state);
        weightSum -= state.countedWeight;
        waiting -= state.countedWaiting;
        state.countedWeight = 0;
        state.countedWaiting = 0;
    }

    private void insert(SchedulingState state, long now) {
        WaitingRequest head = state.queue.head();
        if (head == null) {
            state.status = SchedulingState.Status.IDLE;
            if (byVirtualStart.isEmpty()) {
                weightSum = 0;
            }
            return;
        }
        state.headDeadline = head.request.deadlineNanos();
        state.headSequence = head.sequence;
        state.countedWaiting = state.queue.size();
        waiting += state.countedWaiting;
        if (belowReserved(state, now)) {
            state.status = SchedulingState.Status.RESERVED;
            reserved.add(state);
            return;
        }
        state.countedWeight = state.weight;
        weightSum += state.weight;
        byVirtualStart.add(state);
        // Eligible at most one quantum of service ahead: at a weight of 64, a quantum of virtual time would be 64
        // requests, all of which would precede a request with a later deadline.
        state.virtualEligibleTime = state.virtualStart - quantum / Math.max(1, state.weight);
        if (state.virtualEligibleTime <= virtualTime) {
            state.status = SchedulingState.Status.ELIGIBLE;
            eligible.add(state);
        } else {
            state.status = SchedulingState.Status.PENDING;
            pending.add(state);
        }
    }

    private boolean belowReserved(SchedulingState state, long now) {
        long reservedRate = state.queue.reservedPerSecond;
        return reservedRate > 0 && state.localRate.perSecond(now) + state.otherOwnersPerSecond < reservedRate;
    }

    private void scheduleReservedCheck(SchedulingState state, long now) {
        double localRemainder = (double) state.queue.reservedPerSecond - state.otherOwnersPerSecond;
        if (state.queue.reservedPerSecond > 0 && localRemainder > 0 && !belowReserved(state, now)) {
            double seconds = RATE_TIME_CONSTANT_SECONDS * Math.log(state.localRate.perSecond(now) / localRemainder);
            reservedChecks.add(new ReservedCheck(state, now + (long) (Math.max(0.01, seconds) * NANOS_PER_SECOND)));
        }
    }

    private void runReservedChecks(long now) {
        while (!reservedChecks.isEmpty() && reservedChecks.peek().dueNanos() <= now) {
            SchedulingState state = reservedChecks.poll().state();
            if (state.status != SchedulingState.Status.IDLE && state.status != SchedulingState.Status.RESERVED) {
                reinsert(state, now);
                scheduleReservedCheck(state, now);
            }
        }
    }
}
