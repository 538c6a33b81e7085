package org.coltsfootquay.decision.dispatch;

import org.coltsfootquay.decision.fairness.DecayingRate;

/** Scheduling state that {@link FairQueueingPolicy} keeps for one workspace. */
final class SchedulingState {

    /** Status of a workspace, which determines the sorted set that its state is in. */
    enum Status {
        /** No request is waiting. */
        IDLE,
        /** The virtual start is more than one quantum ahead of the virtual time. */
        PENDING,
        /** May be served next; ordered by deadline. */
        ELIGIBLE,
        /** Consumes less than its reserved rate; served before all others, ordered by deadline. */
        RESERVED
    }

    final WorkspaceQueue queue;
    final ChargeHistory charged = new ChargeHistory();

    /** Rate of service granted by this owner; subtracted from the fleet's rate to get the rate at other owners. */
    final DecayingRate localRate = new DecayingRate(10);

    Status status = Status.IDLE;

    /** Virtual start time; changes only while the state is in no sorted set. */
    double virtualStart;

    /** Virtual time from which the workspace is eligible; changes only while the state is in no sorted set. */
    double virtualEligibleTime;

    double weight = 1;

    /** Offset from the fleet mean in the last fleet totals, in service units. */
    long offset;

    /** Consumption at other owners according to the last fleet totals, in service units per second. */
    double otherOwnersPerSecond;

    /** Deadline and sequence number of the first waiting request; set while a request waits. */
    long headDeadline;

    long headSequence;

    /** Number of waiting requests and weight that this state contributes to the policy's sums. */
    int countedWaiting;

    double countedWeight;

    /** Sort key among over-served workspaces; changes only while the state is not in that set. */
    double excess;

    SchedulingState(WorkspaceQueue queue) {
        this.queue = queue;
    }

    double currentExcess() {
        return (double) (offset + charged.sum());
    }
}
