package org.coltsfootquay.decision.fairness;

import java.time.Duration;

/** Formulas for workspace weights and for the bound on the fairness gap. */
public final class FairnessUtils {

    /** Maximum weight; the minimum weight is its reciprocal. */
    public static final double MAX_WEIGHT = 64;

    private static final double NANOS_PER_SECOND = 1e9;

    private FairnessUtils() {}

    /**
     * Returns the error scale: the service that one backlogged workspace receives during the age of the totals plus one
     * second.
     *
     * @param fleetRate service rate of the fleet, in service units per second
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
     * @return weight between 1/64 and 64
     */
    public static double weight(double excessUnits, double scale) {
        double weight = Math.exp(-excessUnits / scale);
        return Math.min(MAX_WEIGHT, Math.max(1 / MAX_WEIGHT, weight));
    }

    /**
     * Returns the bound on the fairness gap: the difference in service between two workspaces that stay backlogged.
     *
     * @param largestRequest service units of the largest request
     * @param scale error scale at the maximum age of the totals in the interval
     * @param unchargedInFlight service units in flight that are not charged yet
     * @return bound in service units
     */
    public static double gapBound(double largestRequest, double scale, double unchargedInFlight) {
        return 2 * largestRequest + 2 * scale * Math.log(MAX_WEIGHT) + unchargedInFlight;
    }

    /**
     * Returns the maximum service in flight that is not charged yet to one workspace.
     *
     * @param serverRate service rate of one server, in service units per second
     * @param owners number of owners that run requests of the workspace
     * @param reportPeriod interval between two reports of produced service
     * @return service units
     */
    public static double unchargedInFlight(double serverRate, int owners, Duration reportPeriod) {
        return serverRate * owners * reportPeriod.toMillis() / 1e3;
    }
}
