package org.coltsfootquay.router.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.decision.common.RouterId;

/**
 * Newest time at which a router of the region had settled contact with the store, passed along the aggregation tree.
 *
 * <p>An age of 0 in a message means unknown and is taken for the present time, which is the safe side: a holder whose
 * lease lapsed then reduces its share.
 */
final class SettledContactAggregator {

    /** Reports of children that are older count as unknown no longer; their routers left the tree. */
    private static final long CHILD_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    private record Child(long settledNanos, long receivedNanos) {}

    private final Map<RouterId, Child> children = new HashMap<>();
    private long localSettledNanos = Long.MAX_VALUE;
    private long regionSettledNanos = Long.MAX_VALUE;

    void setLocal(long lastSettledNanos) {
        localSettledNanos = lastSettledNanos;
    }

    void recordChild(RouterId child, long ageMillis, long nowNanos) {
        children.put(child, new Child(nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis), nowNanos));
        children.values().removeIf(entry -> nowNanos - entry.receivedNanos() > CHILD_RETENTION_NANOS);
    }

    void recordParent(long ageMillis, long nowNanos) {
        regionSettledNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
    }

    /** Returns the age to report to the parent, in milliseconds. */
    long subtreeAgeMillis(long nowNanos) {
        return ageMillis(subtreeSettledNanos(nowNanos), nowNanos);
    }

    /** Returns the age to send to children, in milliseconds. */
    long regionAgeMillis(boolean root, long nowNanos) {
        return ageMillis(lastSettledNanos(root, nowNanos), nowNanos);
    }

    /** Returns the newest time of settled contact of the region. */
    long lastSettledNanos(boolean root, long nowNanos) {
        long subtree = subtreeSettledNanos(nowNanos);
        return root ? subtree : Math.max(subtree, Math.min(regionSettledNanos, nowNanos));
    }

    private long subtreeSettledNanos(long nowNanos) {
        long newest = Math.min(localSettledNanos, nowNanos);
        for (Child child : children.values()) {
            newest = Math.max(newest, child.settledNanos());
        }
        return newest;
    }

    private static long ageMillis(long settledNanos, long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - settledNanos));
    }
}
