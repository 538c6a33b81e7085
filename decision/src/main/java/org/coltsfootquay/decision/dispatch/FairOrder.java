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
final class FairOrder implements OrderPolicy {

    /** Weight of a new sample in the mean request size. */
    private static final double QUANTUM_WEIGHT = 0.05;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Time constant of the consumption that is compared with the reserved rate. */
    private static final double RATE_SECONDS = 10;

    private static final Comparator<FairShare> BY_START =
            Comparator.<FairShare>comparingDouble(share -> share.start).thenComparing(share -> share.queue.workspace);
    private static final Comparator<FairShare> BY_ELIGIBILITY = Comparator.<FairShare>comparingDouble(
                    share -> share.eligibleAt)
            .thenComparing(share -> share.queue.workspace);
    private static final Comparator<FairShare> BY_DEADLINE = Comparator.<FairShare>comparingLong(
                    share -> share.headDeadline)
            .thenComparingLong(share -> share.headSequence);
    private static final Comparator<FairShare> BY_EXCESS =
            Comparator.<FairShare>comparingDouble(share -> -share.excess).thenComparing(share -> share.queue.workspace);

    private final boolean useTotals;
    private final Map<WorkspaceId, FairShare> shares = new HashMap<>();

    /** Shares that wait and are not reserved. */
    private final TreeSet<FairShare> byStart = new TreeSet<>(BY_START);

    private final TreeSet<FairShare> pending = new TreeSet<>(BY_ELIGIBILITY);
    private final TreeSet<FairShare> eligible = new TreeSet<>(BY_DEADLINE);
    private final TreeSet<FairShare> reserved = new TreeSet<>(BY_DEADLINE);

    /** Times at which the consumption of a share falls below its reserved rate again. */
    private final PriorityQueue<Return> returns = new PriorityQueue<>(Comparator.comparingLong(Return::dueNanos));

    /** Shares with requests in flight, the most over-served first; idle ones are removed when they are met. */
    private final TreeSet<FairShare> byExcess = new TreeSet<>(BY_EXCESS);

    private double virtualTime;
    private double quantum;
    private double weightSum;
    private int waiting;
    private ServiceTotals.Totals totals;

    private record Return(FairShare share, long dueNanos) {}

    FairOrder(boolean useTotals) {
        this.useTotals = useTotals;
    }

    @Override
    public Comparator<WaitingRequest> withinWorkspace() {
        return WaitingRequest.BY_DEADLINE;
    }

    @Override
    public void queueChanged(WorkspaceQueue queue, long nowNanos) {
        replace(share(queue), nowNanos);
    }

    @Override
    public WorkspaceQueue next(long nowNanos) {
        moveReturned(nowNanos);
        while (!reserved.isEmpty()) {
            FairShare first = reserved.first();
            if (belowReserved(first, nowNanos)) {
                return first.queue;
            }
            replace(first, nowNanos);
        }
        if (byStart.isEmpty()) {
            return null;
        }
        virtualTime = Math.max(virtualTime, byStart.first().start);
        while (!pending.isEmpty() && pending.first().eligibleAt <= virtualTime) {
            FairShare share = pending.pollFirst();
            share.place = FairShare.Place.ELIGIBLE;
            eligible.add(share);
        }
        return eligible.first().queue;
    }

    @Override
    public void granted(WorkspaceQueue queue, long estimatedUnits, long nowNanos) {
        quantum = quantum == 0 ? estimatedUnits : quantum + QUANTUM_WEIGHT * (estimatedUnits - quantum);
        account(queue, estimatedUnits, estimatedUnits, nowNanos);
    }

    /**
     * Corrects the service counted; with fleet totals the virtual start stays.
     *
     * <p>The weight has changed since the grant, by up to 4,096 times: a refund of a part of a request, taken at the
     * present weight, would be worth many requests. The corrected totals act on the weight instead.
     */
    @Override
    public void corrected(WorkspaceQueue queue, long differenceUnits, long nowNanos) {
        account(queue, differenceUnits, useTotals ? 0 : differenceUnits, nowNanos);
    }

    /** Moves the virtual start only, so that one probe does not take all its requests from the same workspace. */
    @Override
    public void redirected(WorkspaceQueue queue, long estimatedUnits, long nowNanos) {
        FairShare share = share(queue);
        remove(share);
        share.start += estimatedUnits / share.weight;
        insert(share, nowNanos);
    }

    @Override
    public void totalsChanged(ServiceTotals.Totals newTotals, long nowNanos) {
        if (!useTotals) {
            return;
        }
        totals = newTotals;
        List<FairShare> waitingShares = new ArrayList<>(byStart);
        waitingShares.addAll(reserved);
        for (FairShare share : shares.values()) {
            share.charged.forgetBefore(newTotals.madeAtNanos());
            share.offset = newTotals.offsets().getOrDefault(share.queue.workspace, 0L);
            long fleet = newTotals.consumedPerSecond().getOrDefault(share.queue.workspace, 0L);
            share.elsewherePerSecond = Math.max(0, fleet - share.ownRate.perSecond(nowNanos));
        }
        for (FairShare share : waitingShares) {
            remove(share);
            refreshWeight(share, nowNanos);
            insert(share, nowNanos);
        }
        byExcess.clear();
        shares.values().forEach(this::rankExcess);
        returns.clear();
        waitingShares.forEach(share -> scheduleReturn(share, nowNanos));
    }

    @Override
    public double grantsAhead(WorkspaceQueue queue, long nowNanos) {
        FairShare share = share(queue);
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
        for (FairShare share : reserved) {
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
        while (!byExcess.isEmpty() && byExcess.first().queue.flights.isEmpty()) {
            byExcess.pollFirst();
        }
        return byExcess.stream()
                .filter(share -> !share.queue.flights.isEmpty() && !belowReserved(share, nowNanos))
                .map(share -> share.queue)
                .iterator();
    }

    private void account(WorkspaceQueue queue, long units, long virtualUnits, long now) {
        FairShare share = share(queue);
        byExcess.remove(share);
        remove(share);
        share.start = Math.max(share.start, share.place == FairShare.Place.IDLE ? virtualTime : share.start);
        refreshWeight(share, now);
        share.start += virtualUnits / share.weight;
        share.charged.add(units, now);
        share.ownRate.add((double) units, now);
        insert(share, now);
        rankExcess(share);
        scheduleReturn(share, now);
    }

    private void rankExcess(FairShare share) {
        share.excess = share.presentExcess();
        byExcess.add(share);
    }

    /**
     * Takes the present weight; the share must be in no set.
     *
     * <p>The lead over the virtual time keeps its amount in service units. If it kept its virtual amount, a workspace
     * that was served at weight 1/64 would wait long after the totals say that it is below the mean.
     */
    private void refreshWeight(FairShare share, long now) {
        double formerWeight = share.weight;
        if (totals != null) {
            double scale = FairnessUtils.scale(totals.fleetRate(), now - totals.madeAtNanos(), totals.backlogged());
            share.weight = FairnessUtils.weight(share.presentExcess(), scale);
            double lead = Math.max(0, share.start - virtualTime);
            share.start = virtualTime + lead * formerWeight / share.weight;
        }
    }

    private FairShare share(WorkspaceQueue queue) {
        FairShare known = shares.get(queue.workspace);
        if (known != null) {
            return known;
        }
        FairShare share = new FairShare(queue);
        shares.put(queue.workspace, share);
        if (totals != null) {
            share.offset = totals.offsets().getOrDefault(queue.workspace, 0L);
            share.elsewherePerSecond = totals.consumedPerSecond().getOrDefault(queue.workspace, 0L);
        }
        return share;
    }

    private void replace(FairShare share, long now) {
        boolean wasIdle = share.place == FairShare.Place.IDLE;
        remove(share);
        if (wasIdle && !share.queue.isEmpty()) {
            share.start = Math.max(share.start, virtualTime);
            refreshWeight(share, now);
        }
        insert(share, now);
    }

    private void remove(FairShare share) {
        switch (share.place) {
            case RESERVED -> reserved.remove(share);
            case ELIGIBLE -> eligible.remove(share);
            case PENDING -> pending.remove(share);
            default -> {
                // An idle share is in no set.
            }
        }
        byStart.remove(share);
        weightSum -= share.countedWeight;
        waiting -= share.countedWaiting;
        share.countedWeight = 0;
        share.countedWaiting = 0;
    }

    private void insert(FairShare share, long now) {
        WaitingRequest head = share.queue.head();
        if (head == null) {
            share.place = FairShare.Place.IDLE;
            if (byStart.isEmpty()) {
                weightSum = 0;
            }
            return;
        }
        share.headDeadline = head.request.deadlineNanos();
        share.headSequence = head.sequence;
        share.countedWaiting = share.queue.size();
        waiting += share.countedWaiting;
        if (belowReserved(share, now)) {
            share.place = FairShare.Place.RESERVED;
            reserved.add(share);
            return;
        }
        share.countedWeight = share.weight;
        weightSum += share.weight;
        byStart.add(share);
        // One quantum of service ahead at most: at a weight of 64 a quantum of virtual time would be 64 requests, which
        // would all go before a request with a later deadline.
        share.eligibleAt = share.start - quantum / Math.max(1, share.weight);
        if (share.eligibleAt <= virtualTime) {
            share.place = FairShare.Place.ELIGIBLE;
            eligible.add(share);
        } else {
            share.place = FairShare.Place.PENDING;
            pending.add(share);
        }
    }

    private boolean belowReserved(FairShare share, long now) {
        long bought = share.queue.reservedPerSecond;
        return bought > 0 && share.ownRate.perSecond(now) + share.elsewherePerSecond < bought;
    }

    private void scheduleReturn(FairShare share, long now) {
        double left = (double) share.queue.reservedPerSecond - share.elsewherePerSecond;
        if (share.queue.reservedPerSecond > 0 && left > 0 && !belowReserved(share, now)) {
            double seconds = RATE_SECONDS * Math.log(share.ownRate.perSecond(now) / left);
            returns.add(new Return(share, now + (long) (Math.max(0.01, seconds) * NANOS_PER_SECOND)));
        }
    }

    private void moveReturned(long now) {
        while (!returns.isEmpty() && returns.peek().dueNanos() <= now) {
            FairShare share = returns.poll().share();
            if (share.place != FairShare.Place.IDLE && share.place != FairShare.Place.RESERVED) {
                replace(share, now);
                scheduleReturn(share, now);
            }
        }
    }
}
