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
final class SettledContact {

    /** Reports of children that are older count as unknown no longer; their routers left the tree. */
    private static final long CHILD_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(60);

    private record Child(long settledNanos, long heardNanos) {}

    private final Map<RouterId, Child> children = new HashMap<>();
    private long ownNanos = Long.MAX_VALUE;
    private long regionNanos = Long.MAX_VALUE;

    void own(long lastSettledNanos) {
        ownNanos = lastSettledNanos;
    }

    void report(RouterId child, long ageMillis, long nowNanos) {
        children.put(child, new Child(nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis), nowNanos));
        children.values().removeIf(entry -> nowNanos - entry.heardNanos() > CHILD_MEMORY_NANOS);
    }

    void totals(long ageMillis, long nowNanos) {
        regionNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
    }

    /** Returns the age to report to the parent, in milliseconds. */
    long ageOfSubtree(long nowNanos) {
        return age(subtreeNanos(nowNanos), nowNanos);
    }

    /** Returns the age to send to children, in milliseconds. */
    long ageOfRegion(boolean root, long nowNanos) {
        return age(lastSettledNanos(root, nowNanos), nowNanos);
    }

    /** Returns the newest time of settled contact of the region. */
    long lastSettledNanos(boolean root, long nowNanos) {
        long subtree = subtreeNanos(nowNanos);
        return root ? subtree : Math.max(subtree, Math.min(regionNanos, nowNanos));
    }

    private long subtreeNanos(long nowNanos) {
        long newest = Math.min(ownNanos, nowNanos);
        for (Child child : children.values()) {
            newest = Math.max(newest, child.settledNanos());
        }
        return newest;
    }

    private static long age(long settledNanos, long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - settledNanos));
    }
}
