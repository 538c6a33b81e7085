package org.coltsfootquay.decision.rollout;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Bounds of roll-outs; set by the operator of the platform.
 *
 * @param canaryShare largest share of the requests of a service that a bad version may get, above 0 and below 1
 * @param canarySlack requests that it may get in addition from all routers together
 * @param rollbackTime time from the failures that show a version to be bad until it gets no more requests
 */
public record RolloutSettings(double canaryShare, double canarySlack, Duration rollbackTime) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public RolloutSettings {
        if (!(canaryShare > 0 && canaryShare < 1)) {
            throw new IllegalArgumentException("canary share " + canaryShare + " is not between 0 and 1");
        }
        if (!(canarySlack >= 0)) {
            throw new IllegalArgumentException("canary slack " + canarySlack + " is negative");
        }
        ArgumentUtils.requirePositive(rollbackTime.toNanos(), "rollbackTime");
    }
}
