package org.coltsfootquay.router.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.decision.common.RouterId;

/**
 * Contact of the region's routers with the store, passed along the aggregation tree: the newest time at which one of
 * them had settled contact, and a digest of those that cannot reach the store.
 *
 * <p>An age of 0 in a message means unknown and is taken for the present time, which is the safe side: a holder whose
 * lease lapsed then reduces its share. A digest that does not match has the same effect.
 */
final class TreeContact {

    /** Silence after which the aggregation tree forgets a child. */
    private static final long CHILD_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(12);

    private record Child(long settledNanos, long digest, long heardNanos) {}

    private final Map<RouterId, Child> children = new HashMap<>();
    private long ownSettledNanos = Long.MAX_VALUE;
    private long ownDigest;
    private long regionSettledNanos = Long.MAX_VALUE;
    private long regionDigest;

    /** Sets this router's own contact; the digest is 0 while it reaches the store. */
    void own(long settledNanos, long digest) {
        ownSettledNanos = settledNanos;
        ownDigest = digest;
    }

    void report(RouterId child, long settledAgeMillis, long digest, long nowNanos) {
        children.put(child, new Child(nowNanos - TimeUnit.MILLISECONDS.toNanos(settledAgeMillis), digest, nowNanos));
    }

    void totals(long settledAgeMillis, long digest, long nowNanos) {
        regionSettledNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(settledAgeMillis);
        regionDigest = digest;
    }

    /** Forgets children that fell silent. */
    void tick(long nowNanos) {
        children.values().removeIf(child -> nowNanos - child.heardNanos() > CHILD_MEMORY_NANOS);
    }

    /** Returns the newest time of settled contact in this router's subtree. */
    long settledOfSubtree(long nowNanos) {
        long newest = Math.min(ownSettledNanos, nowNanos);
        for (Child child : children.values()) {
            newest = Math.max(newest, child.settledNanos());
        }
        return newest;
    }

    /** Returns the newest time of settled contact in the region. */
    long settledOfRegion(boolean root, long nowNanos) {
        long subtree = settledOfSubtree(nowNanos);
        return root ? subtree : Math.max(subtree, Math.min(regionSettledNanos, nowNanos));
    }

    long digestOfSubtree() {
        return ownDigest + children.values().stream().mapToLong(Child::digest).sum();
    }

    long digestOfRegion(boolean root) {
        return root ? digestOfSubtree() : regionDigest;
    }

    static long ageMillis(long settledNanos, long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - settledNanos));
    }
}
