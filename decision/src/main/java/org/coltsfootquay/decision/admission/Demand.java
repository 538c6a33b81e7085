package org.coltsfootquay.decision.admission;

/**
 * Recent demand of a workspace for a service; both counters decay with time.
 *
 * @param requestedTokens tokens of all requests
 * @param dispatchedTokens tokens of the requests that were dispatched to a server
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
     * Multiplies the demand by a factor.
     *
     * @param factor factor
     * @return scaled demand
     */
    public Demand times(double factor) {
        return new Demand(requestedTokens * factor, dispatchedTokens * factor);
    }
}
