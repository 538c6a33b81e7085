package org.coltsfootquay.decision.configuration;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings of the configuration controller.
 *
 * @param retryDelay shortest time between two tries to read an object or to resolve an outcome
 * @param maxRetryDelay longest time between two tries
 * @param submitTimeout time after which an operator's change is answered although it is not resolved
 */
public record ConfigurationSettings(Duration retryDelay, Duration maxRetryDelay, Duration submitTimeout) {

    /**
     * Checks the durations.
     *
     * @throws IllegalArgumentException if a duration is not greater than zero
     */
    public ConfigurationSettings {
        ArgumentUtils.requirePositive(retryDelay.toNanos(), "retry delay");
        ArgumentUtils.requirePositive(maxRetryDelay.toNanos(), "longest retry delay");
        ArgumentUtils.requirePositive(submitTimeout.toNanos(), "submit timeout");
    }

    /**
     * Returns the standard settings.
     *
     * @return settings
     */
    public static ConfigurationSettings standard() {
        return new ConfigurationSettings(Duration.ofMillis(200), Duration.ofSeconds(2), Duration.ofSeconds(8));
    }
}
