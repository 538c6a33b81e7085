package org.coltsfootquay.decision.dispatch;

import org.coltsfootquay.decision.fairness.DecayingRate;

/** Figures that {@link FairQueueingPolicy} keeps about one workspace. */
final class SchedulingState {

    /** Set that a share is in. */
    enum Status {
        /** No request waits. */
        IDLE,
        /** The virtual start is more than one quantum ahead. */
        PENDING,
        /** May be served; ordered by deadline. */
        ELIGIBLE,
        /** Consumes less than its reserved rate; goes first, ordered by deadline. */
        RESERVED
    }

    final WorkspaceQueue queue;
    final ChargeHistory charged = new ChargeHistory();

    /** Service granted at this owner; tells which part of the fleet's consumption is from elsewhere. */
    final DecayingRate localRate = new DecayingRate(10);

    Status status = Status.IDLE;

    /** Virtual start; changes only while the share is in no set. */
    double virtualStart;

    /** Virtual time from which the share is eligible; changes only while the share is in no set. */
    double virtualEligibleTime;

    double weight = 1;

    /** Offset from the mean in the last fleet totals, in service units. */
    long offset;

    /** Consumption at other owners according to the last totals, in units a second. */
    double otherOwnersPerSecond;

    /** Deadline and sequence of the first waiting request while the share is in a set. */
    long headDeadline;

    long headSequence;

    /** Waiting requests and weight that the sums of the order contain for this share. */
    int countedWaiting;

    double countedWeight;

    /** Position in the order of over-served workspaces; changes only while the share is out of that set. */
    double excess;

    SchedulingState(WorkspaceQueue queue) {
        this.queue = queue;
    }

    double currentExcess() {
        return (double) (offset + charged.sum());
    }
}
