package org.coltsfootquay.decision.fairness;

import java.time.Duration;

/** Formulas of weights and of the bound on the fairness gap. */
public final class FairnessUtils {

    /** Largest weight; the smallest one is its reciprocal. */
    public static final double MAX_WEIGHT = 64;

    private static final double NANOS_PER_SECOND = 1e9;

    private FairnessUtils() {}

    /**
     * Returns the error scale: the service that one backlogged workspace gets while totals age, plus one second.
     *
     * @param fleetRate service rate of the fleet, in units a second
     * @param ageNanos age of the totals
     * @param backlogged number of backlogged workspaces
     * @return scale in service units, at least 1
     */
    public static double errorScale(long fleetRate, long ageNanos, int backlogged) {
        double seconds = Math.max(0, ageNanos) / NANOS_PER_SECOND + 1;
        return Math.max(1, fleetRate * seconds / Math.max(1, backlogged));
    }

    /**
     * Returns the weight of a workspace.
     *
     * @param excessUnits service received above the mean of the backlogged workspaces
     * @param scale error scale in service units, greater than zero
     * @return weight from 1/64 to 64
     */
    public static double weight(double excessUnits, double scale) {
        double weight = Math.exp(-excessUnits / scale);
        return Math.min(MAX_WEIGHT, Math.max(1 / MAX_WEIGHT, weight));
    }

    /**
     * Returns the bound on the difference in service between two workspaces that stay backlogged.
     *
     * @param largestRequest service of the largest request
     * @param scale error scale, at the largest age of the totals in the interval
     * @param unchargedInFlight service in flight that is not charged yet
     * @return bound in service units
     */
    public static double gapBound(double largestRequest, double scale, double unchargedInFlight) {
        return 2 * largestRequest + 2 * scale * Math.log(MAX_WEIGHT) + unchargedInFlight;
    }

    /**
     * Returns the service in flight that may not be charged yet to one workspace.
     *
     * @param serverRate service rate of one server, in units a second
     * @param owners owners that the workspace runs at
     * @param reportPeriod time between two reports of produced service
     * @return service units
     */
    public static double unchargedInFlight(double serverRate, int owners, Duration reportPeriod) {
        return serverRate * owners * reportPeriod.toMillis() / 1e3;
    }
}
