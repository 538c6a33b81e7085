package org.coltsfootquay.decision.store;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Contact of this router with the table service.
 *
 * <p>Contact is <em>settled</em> when it has lasted for the settling time of the watcher. Only then may a router act on
 * the expiry of others, because by then each holder that relied on an outage of the store has reduced its shares.
 *
 * @param reachable whether the table service answered recently
 * @param settled whether contact has lasted for the settling time
 * @param lastAnswerNanos send time of the newest request that was answered, by the timer service
 * @param lastSettledNanos newest time by the timer service at which contact was settled, or the start of the process
 */
public record StoreConnectivity(boolean reachable, boolean settled, long lastAnswerNanos, long lastSettledNanos) {

    /** Topic written by the store watcher. */
    public static final Topic<StoreConnectivity> TOPIC =
            new Topic<>("store-contact", new StoreConnectivity(false, false, Long.MIN_VALUE / 2, Long.MAX_VALUE));
}
