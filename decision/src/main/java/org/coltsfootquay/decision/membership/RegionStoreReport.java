package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Contact of the region's routers with the store, as the aggregation tree last reported it.
 *
 * @param routers routers of the region that reported
 * @param routersWithoutStore how many of them cannot reach the store
 * @param asOfNanos time by the timer service of the oldest report that is part of the figures: arrival less age
 */
public record RegionStoreReport(int routers, int routersWithoutStore, long asOfNanos) {

    /** Topic written by the component that receives the fleet totals. */
    public static final Topic<RegionStoreReport> TOPIC =
            new Topic<>("region-store-report", new RegionStoreReport(0, 0, Long.MIN_VALUE / 2));
}
