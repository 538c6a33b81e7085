package org.coltsfootquay.decision.store;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Contact of this router with the table service.
 *
 * @param reachable whether the table service answered recently
 * @param lastAnswerNanos send time of the newest request that was answered, by the timer service
 * @param since time of the last change of {@code reachable}, by the timer service
 */
public record StoreContact(boolean reachable, long lastAnswerNanos, long since) {

    /** Topic written by the store watcher. */
    public static final Topic<StoreContact> TOPIC =
            new Topic<>("store-contact", new StoreContact(false, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2));
}
