package org.coltsfootquay.decision.fairness;

/** Positions in the tree of routers. */
public final class AggregationTree {

    /**
     * Children of one router. The totals go to each child, so with the traffic of a router bounded their period grows
     * with the fan-in, while the number of levels falls only with its logarithm: 4 gives the smallest age.
     */
    public static final int FAN_IN = 4;

    private AggregationTree() {}

    /**
     * Returns the rank of the parent.
     *
     * @param rank rank of a router, 0 for the root
     * @return rank of its parent, or -1 for the root
     */
    public static int parentRank(int rank) {
        return rank <= 0 ? -1 : (rank - 1) / FAN_IN;
    }
}
