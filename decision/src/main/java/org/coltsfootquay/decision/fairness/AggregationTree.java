package org.coltsfootquay.decision.fairness;

/** Positions of routers in the aggregation tree. */
public final class AggregationTree {

    /**
     * Maximum number of children of a router. Totals are sent to each child, so under the bandwidth limit of a router
     * their period grows linearly with the fan-in, while the depth of the tree decreases only logarithmically: 4 gives
     * the smallest age of the totals.
     */
    public static final int FAN_IN = 4;

    private AggregationTree() {}

    /**
     * Returns the rank of the parent.
     *
     * @param rank rank of a router, 0 for the root
     * @return rank of the parent, or -1 for the root
     */
    public static int parentRank(int rank) {
        return rank <= 0 ? -1 : (rank - 1) / FAN_IN;
    }
}
