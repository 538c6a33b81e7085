package org.coltsfootquay.decision.configuration;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Time at which the configuration in force was last confirmed to be the newest.
 *
 * @param confirmedNanos timer service time at which the store or a peer last confirmed it
 */
public record ConfigurationFreshness(long confirmedNanos) {

    /** Topic written by the configuration controller. */
    public static final Topic<ConfigurationFreshness> TOPIC =
            new Topic<>("configuration-freshness", new ConfigurationFreshness(Long.MIN_VALUE / 2));
}
