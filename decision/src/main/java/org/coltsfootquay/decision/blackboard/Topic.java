package org.coltsfootquay.decision.blackboard;

import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Key of one immutable value on the blackboard.
 *
 * @param name name of the topic, unique on a blackboard
 * @param initialValue value before the first write, never null
 * @param <T> type of the value, immutable
 */
public record Topic<T>(String name, T initialValue) {

    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException if the name is blank or the initial value is null
     */
    public Topic {
        ArgumentUtils.requireText(name, "topic name");
        ArgumentUtils.requireValue(initialValue, "initial value of topic " + name);
    }
}
