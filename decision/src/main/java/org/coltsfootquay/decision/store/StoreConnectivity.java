package org.coltsfootquay.decision.store;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Connectivity of this router to the table service.
 *
 * <p>Connectivity is <em>settled</em> once it has lasted for the settling time of the watcher. Only then may a router
 * act on the expiry of others, because by then every holder that relied on a store outage has reduced its shares.
 *
 * @param reachable whether the table service responded recently
 * @param settled whether connectivity has lasted for the settling time
 * @param lastResponseNanos timer service time at which the latest call that got a response was sent
 * @param lastSettledNanos latest timer service time at which connectivity was settled, or the start of the process
 */
public record StoreConnectivity(boolean reachable, boolean settled, long lastResponseNanos, long lastSettledNanos) {

    /** Topic written by the store watcher. */
    public static final Topic<StoreConnectivity> TOPIC =
            new Topic<>("store-connectivity", new StoreConnectivity(false, false, Long.MIN_VALUE / 2, Long.MAX_VALUE));
}
