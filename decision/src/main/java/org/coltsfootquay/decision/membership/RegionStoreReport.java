package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Topic;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.RouterId;

/**
 * Store connectivity of the region's routers, as last reported through the aggregation tree.
 *
 * <p>Counts alone do not suffice: a router unknown to this one could be counted in place of one that still reaches the
 * store. The digest identifies the set of routers without the store, and can be summed over the tree.
 *
 * @param routers number of routers of the region that reported
 * @param routersWithoutStore number of them that cannot reach the store
 * @param withoutStoreDigest sum of {@link #digest} over those that cannot reach the store
 * @param lastSettledNanos latest timer service time at which the store connectivity of any of them was settled,
 *     see {@link org.coltsfootquay.decision.store.StoreConnectivity}
 * @param asOfNanos timer service time of the oldest report included: its arrival time minus its age
 */
public record RegionStoreReport(
        int routers, int routersWithoutStore, long withoutStoreDigest, long lastSettledNanos, long asOfNanos) {

    /** Topic written by the component that receives the fleet totals. */
    public static final Topic<RegionStoreReport> TOPIC =
            new Topic<>("region-store-report", new RegionStoreReport(0, 0, 0, Long.MAX_VALUE, Long.MIN_VALUE / 2));

    /**
     * Returns the contribution of one router to the digest.
     *
     * @param router router
     * @param incarnation incarnation of the router
     * @return hash
     */
    public static long digest(RouterId router, long incarnation) {
        return HashUtils.hash(router.value(), Long.toString(incarnation));
    }
}
