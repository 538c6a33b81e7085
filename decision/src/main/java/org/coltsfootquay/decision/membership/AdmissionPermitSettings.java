package org.coltsfootquay.decision.membership;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings of the contact controller.
 *
 * @param permitDuration time for which an answer of the store or a message of a peer permits new work
 * @param checkPeriod time between two checks
 */
public record AdmissionPermitSettings(Duration permitDuration, Duration checkPeriod) {

    /**
     * Checks the durations.
     *
     * @throws IllegalArgumentException if a duration is not greater than zero
     */
    public AdmissionPermitSettings {
        ArgumentUtils.requirePositive(permitDuration.toNanos(), "permit time");
        ArgumentUtils.requirePositive(checkPeriod.toNanos(), "check period");
    }

    /**
     * Returns the settings of the design: a router that is cut off stops within 5 s.
     *
     * <p>The permit ends 0.5 s earlier, which is the time after which an unused grant lapses.
     *
     * @return settings
     */
    public static AdmissionPermitSettings standard() {
        return new AdmissionPermitSettings(Duration.ofMillis(4_500), Duration.ofMillis(100));
    }
}
