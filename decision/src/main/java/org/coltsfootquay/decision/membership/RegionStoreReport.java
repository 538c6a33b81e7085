package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Topic;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.RouterId;

/**
 * Contact of the region's routers with the store, as the aggregation tree last reported it.
 *
 * <p>Counts alone do not suffice: a router that this one does not know could stand in for one that still reaches the
 * store. The digest says which routers are without the store, and adds up over the tree.
 *
 * @param routers routers of the region that reported
 * @param routersWithoutStore how many of them cannot reach the store
 * @param withoutStoreDigest sum of {@link #digest} over those that cannot reach the store
 * @param lastSettledNanos latest time by the timer service at which contact of any of them with the store was settled,
 *     see {@link org.coltsfootquay.decision.store.StoreConnectivity}
 * @param asOfNanos time by the timer service of the oldest report that is part of the figures: arrival less age
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
