package org.coltsfootquay.decision.selection;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings for the choice of a model engine.
 *
 * @param choices number of engines that are compared for a request on average, beside those that have its shared prompt
 *     parts; 0 for all
 * @param minRouters number of routers from which the number of choices is limited
 */
public record PlacementSettings(int choices, int minRouters) {

    /** All engines are compared. */
    public static final PlacementSettings DEFAULT = new PlacementSettings(0, 0);

    /** Validates the values. */
    public PlacementSettings {
        ArgumentUtils.requireNonNegative(choices, "choices");
        ArgumentUtils.requireNonNegative(minRouters, "minRouters");
    }

    /**
     * Returns the sampler for these settings.
     *
     * <p>Load that it answers: many routers whose reports of each other are equally old see the same engine as idle,
     * and all of them send their next request to it. Routers that compare different engines spread over those with
     * room.
     *
     * @param routers supplies the number of routers
     * @param random source of randomness
     * @return sampler
     */
    public CandidateSampler sampler(IntSupplier routers, RandomGenerator random) {
        return choices == 0
                ? CandidateSampler.ALL
                : candidates -> routers.getAsInt() < minRouters || random.nextInt(candidates) < choices;
    }
}
