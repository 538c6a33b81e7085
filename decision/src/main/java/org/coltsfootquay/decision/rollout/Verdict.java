package org.coltsfootquay.decision.rollout;

/**
 * Comparison of the target with the other versions, with its figures.
 *
 * @param kind result
 * @param reason route and test that led to it
 * @param targetRequests responses of the target
 * @param targetFailures failures of the target
 * @param otherRequests responses of the other versions
 * @param otherFailures failures of the other versions
 * @param logLikelihoodRatio sum of the sequential test that led to the result; positive values speak against the target
 */
public record Verdict(
        Kind kind,
        String reason,
        long targetRequests,
        long targetFailures,
        long otherRequests,
        long otherFailures,
        double logLikelihoodRatio) {

    /** Result of a comparison. */
    public enum Kind {
        /** The target is as good as the other versions. */
        GOOD,
        /** The target fails more often or is slower. */
        BAD,
        /** There are too few responses for either. */
        OPEN
    }

    Verdict because(Kind otherKind, String otherReason) {
        return new Verdict(
                otherKind,
                otherReason,
                targetRequests,
                targetFailures,
                otherRequests,
                otherFailures,
                logLikelihoodRatio);
    }
}
