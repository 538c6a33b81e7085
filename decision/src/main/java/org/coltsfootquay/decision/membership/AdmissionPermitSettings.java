package org.coltsfootquay.decision.membership;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings of the admission permit controller.
 *
 * @param permitDuration time for which a response from the store or a message from a peer permits new work
 * @param checkPeriod interval between checks
 */
public record AdmissionPermitSettings(Duration permitDuration, Duration checkPeriod) {

    /**
     * Validates the durations.
     *
     * @throws IllegalArgumentException if a duration is not greater than zero
     */
    public AdmissionPermitSettings {
        ArgumentUtils.requirePositive(permitDuration.toNanos(), "permit duration");
        ArgumentUtils.requirePositive(checkPeriod.toNanos(), "check period");
    }

    /**
     * Returns the default settings: a disconnected router stops new work within 5 s.
     *
     * <p>The permit ends after 4.5 s; the remaining 0.5 s is the time after which an unused grant expires.
     *
     * @return settings
     */
    public static AdmissionPermitSettings standard() {
        return new AdmissionPermitSettings(Duration.ofMillis(4_500), Duration.ofMillis(100));
    }
}
