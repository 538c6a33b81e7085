package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Contact of the region's routers with the store, as the aggregation tree last reported it.
 *
 * @param routers routers of the region that reported
 * @param routersWithoutStore how many of them cannot reach the store
 * @param lastSettledNanos latest time by the timer service at which contact of any of them with the store was settled,
 *     see {@link org.coltsfootquay.decision.store.StoreContact}
 * @param asOfNanos time by the timer service of the oldest report that is part of the figures: arrival less age
 */
public record RegionStoreReport(int routers, int routersWithoutStore, long lastSettledNanos, long asOfNanos) {

    /** Topic written by the component that receives the fleet totals. */
    public static final Topic<RegionStoreReport> TOPIC =
            new Topic<>("region-store-report", new RegionStoreReport(0, 0, Long.MAX_VALUE, Long.MIN_VALUE / 2));
}
