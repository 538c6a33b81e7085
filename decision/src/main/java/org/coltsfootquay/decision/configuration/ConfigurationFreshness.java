package org.coltsfootquay.decision.configuration;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Age of the knowledge that the configuration in force is the newest one.
 *
 * @param confirmedNanos time by the timer service at which the store or a peer last confirmed it
 */
public record ConfigurationFreshness(long confirmedNanos) {

    /** Topic written by the configuration controller. */
    public static final Topic<ConfigurationFreshness> TOPIC =
            new Topic<>("configuration-check", new ConfigurationFreshness(Long.MIN_VALUE / 2));
}
