package org.coltsfootquay.decision.blackboard;

import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Typed key of an immutable value on the blackboard.
 *
 * @param name name of the topic, unique on a blackboard
 * @param initialValue value before the first write, never null
 * @param <T> type of the value, immutable
 */
public record Topic<T>(String name, T initialValue) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if the name is blank or the initial value is null
     */
    public Topic {
        ArgumentUtils.requireText(name, "topic name");
        ArgumentUtils.requireValue(initialValue, "initial value of topic " + name);
    }
}
