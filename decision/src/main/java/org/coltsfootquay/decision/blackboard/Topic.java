package org.coltsfootquay.decision.blackboard;

import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Key of one immutable value on the blackboard.
 *
 * @param name name of the topic, unique on a blackboard
 * @param initial value before the first write, never null
 * @param <T> type of the value, immutable
 */
public record Topic<T>(String name, T initial) {

    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException if the name is blank or the initial value is null
     */
    public Topic {
        ArgumentUtils.requireText(name, "topic name");
        ArgumentUtils.requireValue(initial, "initial value of topic " + name);
    }
}
