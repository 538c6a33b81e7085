package org.coltsfootquay.decision.hedge;

/**
 * This router's part of the extra work that hedges of one service may cause; not thread-safe.
 *
 * <p>Each request adds a share of its work, and each hedge takes its own work. As every router only spends what its own
 * requests have added, all routers together stay within the share without messages.
 */
final class HedgeBudget {

    /** Hedges of mean size that may be saved up, so that an idle time is followed by no burst. */
    private static final double MAX_SAVED_HEDGES = 2;

    /** Weight of the latest request in the mean work. */
    private static final double LATEST_WEIGHT = 0.02;

    private final double workShare;
    private double meanWork;
    private double available;

    HedgeBudget(double workShare) {
        this.workShare = workShare;
    }

    /** Records the work of a request of a caller. */
    void recordRequest(double work) {
        meanWork = meanWork == 0 ? work : meanWork + LATEST_WEIGHT * (work - meanWork);
        available = Math.min(available + workShare * work, MAX_SAVED_HEDGES * meanWork);
    }

    /** Returns whether a hedge may be sent. */
    boolean covers(double work) {
        return workShare > 0 && available >= work;
    }

    /** Takes the work of a hedge. */
    void spend(double work) {
        available -= work;
    }
}
