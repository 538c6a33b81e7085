package org.coltsfootquay.router.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.decision.common.RouterId;

/**
 * Computes the latest time at which any router of the region had settled contact with the store, from the reports in
 * the aggregation tree.
 *
 * <p>An age of 0 in a message means unknown and is treated as the current time. This is the safe side: a router whose
 * lease lapsed then reduces its share.
 */
final class SettledContactAggregator {

    /** Age at which the report of a child is dropped, because its router has left the tree. */
    private static final long CHILD_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    private record ChildReport(long settledNanos, long receivedNanos) {}

    private final Map<RouterId, ChildReport> children = new HashMap<>();
    private long localSettledNanos = Long.MAX_VALUE;
    private long regionSettledNanos = Long.MAX_VALUE;

    void setLocal(long lastSettledNanos) {
        localSettledNanos = lastSettledNanos;
    }

    void recordChild(RouterId child, long ageMillis, long nowNanos) {
        children.put(child, new ChildReport(nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis), nowNanos));
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

    /** Returns the latest time of settled contact in the region. */
    long lastSettledNanos(boolean root, long nowNanos) {
        long subtree = subtreeSettledNanos(nowNanos);
        return root ? subtree : Math.max(subtree, Math.min(regionSettledNanos, nowNanos));
    }

    private long subtreeSettledNanos(long nowNanos) {
        long latest = Math.min(localSettledNanos, nowNanos);
        for (ChildReport child : children.values()) {
            latest = Math.max(latest, child.settledNanos());
        }
        return latest;
    }

    private static long ageMillis(long settledNanos, long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - settledNanos));
    }
}
