package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Lease of this router on its own membership row.
 *
 * @param phase phase of the lease
 * @param incarnation incarnation that holds or last held the lease; 0 before the first lease
 * @param rowRevision revision of the membership row; 0 if there is none
 * @param validUntilNanos timer service time at which the lease lapses unless it is renewed
 * @param confirmedNanos timer service time from which a complete read of the server rows proves what this router still
 *     owns
 */
public record LeaseState(Phase phase, long incarnation, long rowRevision, long validUntilNanos, long confirmedNanos) {

    /** Topic written by the membership controller. */
    public static final Topic<LeaseState> TOPIC = new Topic<>("lease", new LeaseState(Phase.NONE, 0, 0, 0, 0));

    /** Phases of the lease. */
    public enum Phase {
        /** No lease was acquired since the start. */
        NONE,
        /** The lease is valid. */
        HELD,
        /** The lease lapsed; the router may still hold servers at a reduced share. */
        LAPSED,
        /** The row was deleted or replaced; the router stops using its servers before it joins again. */
        REPLACED,
        /** The membership controller stopped; a graceful shutdown has also deleted the row, or tried to. */
        ENDED
    }

    /**
     * Tests whether the lease is valid at a point in time.
     *
     * @param nowNanos timer service time
     * @return true if the lease is held and has not lapsed
     */
    public boolean valid(long nowNanos) {
        return phase == Phase.HELD && nowNanos < validUntilNanos;
    }
}
