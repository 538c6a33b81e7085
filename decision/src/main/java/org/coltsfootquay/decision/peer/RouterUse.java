package org.coltsfootquay.decision.peer;

/**
 * Use of a router's resources, as its beacons state it.
 *
 * @param permille largest share of one of its resources that is in use, 1 to 1000; 0 if unknown
 * @param requestRate requests of callers per second
 */
public record RouterUse(int permille, int requestRate) {

    /** Share of a resource that is used up, permille. */
    public static final int MAX_PERMILLE = 1000;

    /** Use of a router that does not state it. */
    public static final RouterUse UNKNOWN = new RouterUse(0, 0);

    /** Reduces the values to their bounds, since peers may state any. */
    public RouterUse {
        permille = Math.max(0, Math.min(MAX_PERMILLE, permille));
        requestRate = Math.max(0, requestRate);
    }

    /**
     * Returns whether the router states its use.
     *
     * @return true if the use is known
     */
    public boolean isKnown() {
        return permille > 0;
    }
}
