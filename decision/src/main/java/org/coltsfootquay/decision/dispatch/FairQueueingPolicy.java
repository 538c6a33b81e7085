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
 * Weighted fair queueing between workspaces; among the eligible ones the earliest deadline goes first.
 *
 * <p>With fleet totals the weight of a workspace falls exponentially with the service it received above the mean of the
 * fleet. Without them every weight is 1. Workspaces that consume less than their reserved rate go before all others.
 *
 * <p>Service counts when it is granted, by its estimate, and is corrected at the end. Counting it as it is produced
 * would put the length of a request (28 s at the target) into the control loop, whose delay may not exceed about 1.6
 * times the age of the totals plus one second without oscillation.
 */
final class FairQueueingPolicy implements SchedulingPolicy {

    /** Weight of a new sample in the mean request size. */
    private static final double QUANTUM_SMOOTHING = 0.05;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Time constant of the consumption that is compared with the reserved rate. */
    private static final double RATE_TIME_CONSTANT_SECONDS = 10;

    private static final Comparator<SchedulingState> BY_VIRTUAL_START =
            Comparator.<SchedulingState>comparingDouble(share -> share.virtualStart).thenComparing(share -> share.queue.workspace);
    private static final Comparator<SchedulingState> BY_ELIGIBILITY = Comparator.<SchedulingState>comparingDouble(
                    share -> share.virtualEligibleTime)
            .thenComparing(share -> share.queue.workspace);
    private static final Comparator<SchedulingState> BY_DEADLINE = Comparator.<SchedulingState>comparingLong(
                    share -> share.headDeadline)
            .thenComparingLong(share -> share.headSequence);
    private static final Comparator<SchedulingState> BY_EXCESS =
            Comparator.<SchedulingState>comparingDouble(share -> -share.excess).thenComparing(share -> share.queue.workspace);

    private final boolean useTotals;
    private final Map<WorkspaceId, SchedulingState> states = new HashMap<>();

    /** Shares that wait and are not reserved. */
    private final TreeSet<SchedulingState> byVirtualStart = new TreeSet<>(BY_VIRTUAL_START);

    private final TreeSet<SchedulingState> pending = new TreeSet<>(BY_ELIGIBILITY);
    private final TreeSet<SchedulingState> eligible = new TreeSet<>(BY_DEADLINE);
    private final TreeSet<SchedulingState> reserved = new TreeSet<>(BY_DEADLINE);

    /** Times at which the consumption of a share falls below its reserved rate again. */
    private final PriorityQueue<ReservedCheck> reservedChecks = new PriorityQueue<>(Comparator.comparingLong(ReservedCheck::dueNanos));

    /** Shares with requests in flight, the most over-served first; idle ones are removed when they are met. */
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
            SchedulingState first = reserved.first();
            if (belowReserved(first, nowNanos)) {
                return first.queue;
            }
            reinsert(first, nowNanos);
        }
        if (byVirtualStart.isEmpty()) {
            return null;
        }
        virtualTime = Math.max(virtualTime, byVirtualStart.first().virtualStart);
        while (!pending.isEmpty() && pending.first().virtualEligibleTime <= virtualTime) {
            SchedulingState share = pending.pollFirst();
            share.status = SchedulingState.Status.ELIGIBLE;
            eligible.add(share);
        }
        return eligible.first().queue;
    }

    @Override
    public void granted(WorkspaceQueue queue, long estimatedUnits, long nowNanos) {
        quantum = quantum == 0 ? estimatedUnits : quantum + QUANTUM_SMOOTHING * (estimatedUnits - quantum);
        charge(queue, estimatedUnits, estimatedUnits, nowNanos);
    }

    /**
     * Corrects the service counted; with fleet totals the virtual start stays.
     *
     * <p>The weight has changed since the grant, by up to 4,096 times: a refund of a part of a request, taken at the
     * present weight, would be worth many requests. The corrected totals act on the weight instead.
     */
    @Override
    public void corrected(WorkspaceQueue queue, long differenceUnits, long nowNanos) {
        charge(queue, differenceUnits, useTotals ? 0 : differenceUnits, nowNanos);
    }

    /** Moves the virtual start only, so that one probe does not take all its requests from the same workspace. */
    @Override
    public void redirected(WorkspaceQueue queue, long estimatedUnits, long nowNanos) {
        SchedulingState share = state(queue);
        remove(share);
        share.virtualStart += estimatedUnits / share.weight;
        insert(share, nowNanos);
    }

    @Override
    public void totalsChanged(ServiceTotals.Totals newTotals, long nowNanos) {
        if (!useTotals) {
            return;
        }
        totals = newTotals;
        List<SchedulingState> waitingShares = new ArrayList<>(byVirtualStart);
        waitingShares.addAll(reserved);
        for (SchedulingState share : states.values()) {
            share.charged.removeBefore(newTotals.asOfNanos());
            share.offset = newTotals.offsets().getOrDefault(share.queue.workspace, 0L);
            long fleet = newTotals.consumedPerSecond().getOrDefault(share.queue.workspace, 0L);
            share.otherOwnersPerSecond = Math.max(0, fleet - share.localRate.perSecond(nowNanos));
        }
        for (SchedulingState share : waitingShares) {
            remove(share);
            refreshWeight(share, nowNanos);
            insert(share, nowNanos);
        }
        byExcess.clear();
        states.values().forEach(this::updateExcess);
        reservedChecks.clear();
        waitingShares.forEach(share -> scheduleReservedCheck(share, nowNanos));
    }

    @Override
    public double grantsAhead(WorkspaceQueue queue, long nowNanos) {
        SchedulingState share = state(queue);
        if (belowReserved(share, nowNanos)) {
            return reserved.size() + queue.size();
        }
        double others = weightSum - share.countedWeight;
        double fair = (queue.size() + 1) * (others + share.weight) / share.weight;
        return Math.min(waiting + 1.0, fair);
    }

    @Override
    public List<WorkspaceQueue> reservedQueues(int largest, long nowNanos) {
        List<WorkspaceQueue> first = new ArrayList<>();
        for (SchedulingState share : reserved) {
            if (first.size() == largest) {
                break;
            }
            if (belowReserved(share, nowNanos)) {
                first.add(share.queue);
            }
        }
        return first;
    }

    @Override
    public Iterator<WorkspaceQueue> overServed(long nowNanos) {
        while (!byExcess.isEmpty() && byExcess.first().queue.inFlight.isEmpty()) {
            byExcess.pollFirst();
        }
        return byExcess.stream()
                .filter(share -> !share.queue.inFlight.isEmpty() && !belowReserved(share, nowNanos))
                .map(share -> share.queue)
                .iterator();
    }

    private void charge(WorkspaceQueue queue, long units, long virtualUnits, long now) {
        SchedulingState share = state(queue);
        byExcess.remove(share);
        remove(share);
        share.virtualStart = Math.max(share.virtualStart, share.status == SchedulingState.Status.IDLE ? virtualTime : share.virtualStart);
        refreshWeight(share, now);
        share.virtualStart += virtualUnits / share.weight;
        share.charged.add(units, now);
        share.localRate.add((double) units, now);
        insert(share, now);
        updateExcess(share);
        scheduleReservedCheck(share, now);
    }

    private void updateExcess(SchedulingState share) {
        share.excess = share.currentExcess();
        byExcess.add(share);
    }

    /**
     * Takes the present weight; the share must be in no set.
     *
     * <p>The lead over the virtual time keeps its amount in service units. If it kept its virtual amount, a workspace
     * that was served at weight 1/64 would wait long after the totals say that it is below the mean.
     */
    private void refreshWeight(SchedulingState share, long now) {
        double formerWeight = share.weight;
        if (totals != null) {
            double scale = FairnessUtils.errorScale(totals.fleetRate(), now - totals.asOfNanos(), totals.backlogged());
            share.weight = FairnessUtils.weight(share.currentExcess(), scale);
            double lead = Math.max(0, share.virtualStart - virtualTime);
            share.virtualStart = virtualTime + lead * formerWeight / share.weight;
        }
    }

    private SchedulingState state(WorkspaceQueue queue) {
        SchedulingState known = states.get(queue.workspace);
        if (known != null) {
            return known;
        }
        SchedulingState share = new SchedulingState(queue);
        states.put(queue.workspace, share);
        if (totals != null) {
            share.offset = totals.offsets().getOrDefault(queue.workspace, 0L);
            share.otherOwnersPerSecond = totals.consumedPerSecond().getOrDefault(queue.workspace, 0L);
        }
        return share;
    }

    private void reinsert(SchedulingState share, long now) {
        boolean wasIdle = share.status == SchedulingState.Status.IDLE;
        remove(share);
        if (wasIdle && !share.queue.isEmpty()) {
            share.virtualStart = Math.max(share.virtualStart, virtualTime);
            refreshWeight(share, now);
        }
        insert(share, now);
    }

    private void remove(SchedulingState share) {
        switch (share.status) {
            case RESERVED -> reserved.remove(share);
            case ELIGIBLE -> eligible.remove(share);
            case PENDING -> pending.remove(share);
            default -> {
                // An idle share is in no set.
            }
        }
        byVirtualStart.remove(share);
        weightSum -= share.countedWeight;
        waiting -= share.countedWaiting;
        share.countedWeight = 0;
        share.countedWaiting = 0;
    }

    private void insert(SchedulingState share, long now) {
        WaitingRequest head = share.queue.head();
        if (head == null) {
            share.status = SchedulingState.Status.IDLE;
            if (byVirtualStart.isEmpty()) {
                weightSum = 0;
            }
            return;
        }
        share.headDeadline = head.request.deadlineNanos();
        share.headSequence = head.sequence;
        share.countedWaiting = share.queue.size();
        waiting += share.countedWaiting;
        if (belowReserved(share, now)) {
            share.status = SchedulingState.Status.RESERVED;
            reserved.add(share);
            return;
        }
        share.countedWeight = share.weight;
        weightSum += share.weight;
        byVirtualStart.add(share);
        // One quantum of service ahead at most: at a weight of 64 a quantum of virtual time would be 64 requests, which
        // would all go before a request with a later deadline.
        share.virtualEligibleTime = share.virtualStart - quantum / Math.max(1, share.weight);
        if (share.virtualEligibleTime <= virtualTime) {
            share.status = SchedulingState.Status.ELIGIBLE;
            eligible.add(share);
        } else {
            share.status = SchedulingState.Status.PENDING;
            pending.add(share);
        }
    }

    private boolean belowReserved(SchedulingState share, long now) {
        long bought = share.queue.reservedPerSecond;
        return bought > 0 && share.localRate.perSecond(now) + share.otherOwnersPerSecond < bought;
    }

    private void scheduleReservedCheck(SchedulingState share, long now) {
        double left = (double) share.queue.reservedPerSecond - share.otherOwnersPerSecond;
        if (share.queue.reservedPerSecond > 0 && left > 0 && !belowReserved(share, now)) {
            double seconds = RATE_TIME_CONSTANT_SECONDS * Math.log(share.localRate.perSecond(now) / left);
            reservedChecks.add(new ReservedCheck(share, now + (long) (Math.max(0.01, seconds) * NANOS_PER_SECOND)));
        }
    }

    private void runReservedChecks(long now) {
        while (!reservedChecks.isEmpty() && reservedChecks.peek().dueNanos() <= now) {
            SchedulingState share = reservedChecks.poll().state();
            if (share.status != SchedulingState.Status.IDLE && share.status != SchedulingState.Status.RESERVED) {
                reinsert(share, now);
                scheduleReservedCheck(share, now);
            }
        }
    }
}
