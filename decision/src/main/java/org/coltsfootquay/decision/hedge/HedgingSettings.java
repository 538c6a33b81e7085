package org.coltsfootquay.decision.hedge;

import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Limits of hedged requests.
 *
 * @param workShare extra work that hedges may cause, as a share of the work of all requests; 0 turns hedging off
 * @param quantile quantile of the time to the answer after which a request may be hedged
 * @param workShares shares of single services, instead of {@code workShare}
 */
public record HedgingSettings(double workShare, double quantile, Map<ServiceName, Double> workShares) {

    /** Quantile for a deployment that states none. */
    public static final double DEFAULT_QUANTILE = 0.95;

    /** Largest share; a larger one would make a slow service slower. */
    public static final double MAX_WORK_SHARE = 0.2;

    /** Smallest quantile; below it, most hedges would be sent to requests of usual duration. */
    public static final double MIN_QUANTILE = 0.5;

    /** Largest quantile that the number of kept answers can tell from the maximum. */
    public static final double MAX_QUANTILE = 0.99;

    /** Validates the values and copies the map. */
    public HedgingSettings {
        workShares = Map.copyOf(workShares);
        requireShare(workShare);
        workShares.values().forEach(HedgingSettings::requireShare);
        if (!(quantile >= MIN_QUANTILE && quantile <= MAX_QUANTILE)) {
            throw new IllegalArgumentException(
                    "quantile " + quantile + " is not between " + MIN_QUANTILE + " and " + MAX_QUANTILE);
        }
    }

    /**
     * Returns the share of a service.
     *
     * @param service service
     * @return share of its work, 0 if its requests are not hedged
     */
    public double workShare(ServiceName service) {
        return workShares.getOrDefault(ArgumentUtils.requireValue(service, "service"), workShare);
    }

    /**
     * Returns whether a number may be used as a share.
     *
     * @param share share of the work
     * @return true from 0 to {@link #MAX_WORK_SHARE}
     */
    public static boolean isValidShare(double share) {
        return share >= 0 && share <= MAX_WORK_SHARE;
    }

    private static void requireShare(double share) {
        if (!isValidShare(share)) {
            throw new IllegalArgumentException("work share " + share + " is not between 0 and " + MAX_WORK_SHARE);
        }
    }
}
