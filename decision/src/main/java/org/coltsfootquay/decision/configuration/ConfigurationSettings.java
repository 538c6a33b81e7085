package org.coltsfootquay.decision.configuration;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings of the configuration controller and submitter.
 *
 * @param retryDelay initial limit of the exponential delay between attempts to read an object or resolve an outcome
 * @param maxRetryDelay maximum delay between attempts
 * @param submitTimeout time after which a change by an operator gets a result even if its outcome is unknown
 */
public record ConfigurationSettings(Duration retryDelay, Duration maxRetryDelay, Duration submitTimeout) {

    /**
     * Validates the durations.
     *
     * @throws IllegalArgumentException if a duration is not greater than zero
     */
    public ConfigurationSettings {
        ArgumentUtils.requirePositive(retryDelay.toNanos(), "retry delay");
        ArgumentUtils.requirePositive(maxRetryDelay.toNanos(), "max retry delay");
        ArgumentUtils.requirePositive(submitTimeout.toNanos(), "submit timeout");
    }

    /**
     * Returns the default settings.
     *
     * @return settings
     */
    public static ConfigurationSettings standard() {
        return new ConfigurationSettings(Duration.ofMillis(200), Duration.ofSeconds(2), Duration.ofSeconds(8));
    }
}
