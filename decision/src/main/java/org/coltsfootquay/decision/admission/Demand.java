package org.coltsfootquay.decision.admission;

/**
 * What a workspace lately asked of a service and what was sent, in tokens; both decay with time.
 *
 * @param requestedTokens tokens of all requests
 * @param dispatchedTokens tokens of the requests that were sent to a server
 */
public record Demand(double requestedTokens, double dispatchedTokens) {

    /** No requests. */
    public static final Demand NONE = new Demand(0, 0);

    /**
     * Adds another demand.
     *
     * @param other other demand
     * @return sum
     */
    public Demand plus(Demand other) {
        return new Demand(requestedTokens + other.requestedTokens, dispatchedTokens + other.dispatchedTokens);
    }

    /**
     * Scales the demand.
     *
     * @param factor factor
     * @return scaled demand
     */
    public Demand times(double factor) {
        return new Demand(requestedTokens * factor, dispatchedTokens * factor);
    }
}
