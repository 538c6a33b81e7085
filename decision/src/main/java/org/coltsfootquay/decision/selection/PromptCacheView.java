package org.coltsfootquay.decision.selection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Estimate of the shared prompt parts that servers have cached, from the requests of all routers; not thread-safe.
 *
 * <p>Servers evict the least recently used parts, so the view evicts in the same order once the cache share of a
 * server's memory is full.
 */
public final class PromptCacheView {

    /** Fraction of a server's memory that cached parts may fill; running requests use the rest. */
    static final double CACHE_SHARE = 0.6;

    private final Map<ServerName, Cache> caches = new HashMap<>();
    private final Set<Long> recorded = new HashSet<>();
    private boolean assumeHomesCached;

    /** Creates an empty view. */
    public PromptCacheView() {
        // Parts are added as they are read.
    }

    /**
     * Returns whether a server has probably cached the shared parts of a prompt.
     *
     * @param server server
     * @param sharedPartsHash hash of the shared parts
     * @return true if a request made the server read them and they have not been evicted since
     */
    public boolean isCached(ServerName server, long sharedPartsHash) {
        Cache cache = caches.get(server);
        return cache != null && cache.parts.containsKey(sharedPartsHash);
    }

    /**
     * Returns whether shared parts that this view has no record of are assumed to be cached at their home server.
     *
     * <p>A router that joins a running fleet starts without records, although home servers have long cached the parts.
     *
     * @param sharedPartsHash hash of the shared parts
     * @return true if caches of home servers are assumed and no read of the parts is recorded
     */
    public boolean isAssumedCachedAtHome(long sharedPartsHash) {
        return assumeHomesCached && !recorded.contains(sharedPartsHash);
    }

    /**
     * Sets whether home servers are assumed to have cached the parts that this view has no record of.
     *
     * @param assumed true for a router that has just joined a running fleet
     */
    public void setAssumeHomesCached(boolean assumed) {
        assumeHomesCached = assumed;
        if (!assumed) {
            recorded.clear();
        }
    }

    /**
     * Records that a server reads the shared parts of a prompt.
     *
     * @param server server
     * @param sharedPartsHash hash of the shared parts
     * @param tokens tokens of the shared parts
     * @param memoryTokens memory of the server in tokens
     */
    public void recordRead(ServerName server, long sharedPartsHash, int tokens, long memoryTokens) {
        if (assumeHomesCached) {
            recorded.add(sharedPartsHash);
        }
        caches.computeIfAbsent(server, name -> new Cache())
                .put(sharedPartsHash, tokens, (long) (memoryTokens * CACHE_SHARE));
    }

    /**
     * Returns the parts that a server has probably cached.
     *
     * @param server server
     * @return tokens of the parts by hash, least recently used first
     */
    public Map<Long, Integer> cachedParts(ServerName server) {
        Cache cache = caches.get(server);
        return cache == null ? Map.of() : new LinkedHashMap<>(cache.parts);
    }

    /**
     * Returns the servers with recorded parts.
     *
     * @return servers
     */
    public Set<ServerName> servers() {
        return Set.copyOf(caches.keySet());
    }

    /**
     * Removes the parts of a server.
     *
     * @param server server that has restarted or is gone
     */
    public void removeServer(ServerName server) {
        caches.remove(server);
    }

    private static final class Cache {

        private final Map<Long, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
        private long tokens;

        private void put(long sharedPartsHash, int size, long limit) {
            Integer previous = parts.put(sharedPartsHash, size);
            tokens += size - (previous == null ? 0 : previous);
            Iterator<Map.Entry<Long, Integer>> eldest = parts.entrySet().iterator();
            while (tokens > limit && parts.size() > 1) {
                tokens -= eldest.next().getValue();
                eldest.remove();
            }
        }
    }
}
