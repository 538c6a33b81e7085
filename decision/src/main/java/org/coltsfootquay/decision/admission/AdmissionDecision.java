package org.coltsfootquay.decision.admission;

/**
 * Decision on a request, with what it was based on.
 *
 * @param reason reason
 * @param dispatchedTokens recently dispatched tokens of the workspace; 0 if the decision does not depend on shares
 * @param fairShare fair share in tokens; {@link Double#MAX_VALUE} if everything was dispatched or the decision does not
 *     depend on shares
 */
public record AdmissionDecision(Reason reason, double dispatchedTokens, double fairShare) {

    /** Reasons of decisions. */
    public enum Reason {
        /** Admitted: no request waits. */
        NO_WAIT(true),

        /** Admitted: requests wait at the selected server, but not on average over all servers. */
        OTHER_SERVERS_FREE(true),

        /** Admitted: the workspace is at or below its fair share. */
        WITHIN_SHARE(true),

        /** Rejected: requests wait, and the workspace is above its fair share. */
        ABOVE_SHARE(false),

        /** Rejected: the wait is too long for what the workspace lacks of its fair share. */
        WAIT_TOO_LONG(false),

        /** Rejected: the response would come too late at any share. */
        TOO_LATE(false);

        private final boolean admitted;

        Reason(boolean admitted) {
            this.admitted = admitted;
        }
    }

    /**
     * Returns a decision that does not depend on shares.
     *
     * @param reason reason
     * @return decision
     */
    public static AdmissionDecision withoutShares(Reason reason) {
        return new AdmissionDecision(reason, 0, Double.MAX_VALUE);
    }

    /**
     * Returns whether the request may be dispatched.
     *
     * @return true if it may
     */
    public boolean admitted() {
        return reason.admitted;
    }
}
