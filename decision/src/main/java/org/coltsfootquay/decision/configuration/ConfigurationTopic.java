package org.coltsfootquay.decision.configuration;

import org.coltsfootquay.decision.blackboard.Topic;

/** Topic of the configuration in force. */
public final class ConfigurationTopic {

    /** Configuration in force; version 0 until one is known. */
    public static final Topic<FleetConfiguration> IN_FORCE = new Topic<>("configuration", FleetConfiguration.none());

    private ConfigurationTopic() {}
}
