package org.coltsfootquay.decision.idempotency;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.coltsfootquay.decision.common.RouterId;

/** Assignment of records to key shards and of shards to routers. */
public final class RecordShards {

    /** Number of key shards. */
    public static final int COUNT = 8;

    private RecordShards() {}

    /**
     * Returns the shard of a record.
     *
     * @param rowKey key of the row
     * @return number from 0 to 7
     */
    public static int shardOf(String rowKey) {
        return (int) Math.floorMod(hash(rowKey, 0), (long) COUNT);
    }

    /**
     * Selects the router that batches the writes of a shard by rendezvous hashing.
     *
     * <p>Routers with different membership views may select different routers; this is safe because each write is
     * conditional.
     *
     * @param shard number of the shard
     * @param routers reachable routers that are not leaving, including this router
     * @return selected router, or empty if there are no routers
     */
    public static Optional<RouterId> batchingRouter(int shard, Collection<RouterId> routers) {
        return routers.stream()
                .max(Comparator.<RouterId>comparingLong(router -> hash(router.value(), shard + 1L))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /** Computes the FNV-1a hash over the characters and applies the finalizer of SplitMix64. */
    private static long hash(String text, long seed) {
        long hash = 0xcbf29ce484222325L ^ (seed * 0x9e3779b97f4a7c15L);
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }
}
