package org.coltsfootquay.decision.selection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Shared prompt parts that the routers have recently had servers read; not thread-safe.
 *
 * <p>Servers drop the least recently used parts, so the view forgets in the same order once its share of a server's
 * memory is full.
 */
public final class PromptCacheView {

    /** Part of a server's memory that cached parts may fill; running requests take the rest. */
    static final double CACHE_SHARE = 0.6;

    private final Map<ServerName, Cache> caches = new HashMap<>();
    private final Set<Long> known = new HashSet<>();
    private boolean homesTrusted;

    /** Creates an empty view. */
    public PromptCacheView() {
        // Parts appear with the first request.
    }

    /**
     * Tells whether a server probably keeps the shared parts of a prompt.
     *
     * @param server server
     * @param sharedKey key of the shared parts
     * @return true if a router had the server read them and they are not forgotten since
     */
    public boolean isCached(ServerName server, long sharedKey) {
        Cache cache = caches.get(server);
        return cache != null && cache.parts.containsKey(sharedKey);
    }

    /**
     * Tells whether the home of shared parts that were not heard of yet is believed to keep them.
     *
     * <p>A router that joins a running fleet knows nothing, while the homes have had the parts for long.
     *
     * @param sharedKey key of the shared parts
     * @return true if homes are trusted and no read of the parts is known
     */
    public boolean isAssumedCachedAtHome(long sharedKey) {
        return homesTrusted && !known.contains(sharedKey);
    }

    /**
     * Sets whether homes are believed to keep parts that were not heard of.
     *
     * @param trusted true for a router that has just joined a running fleet
     */
    public void setAssumeHomesCached(boolean trusted) {
        homesTrusted = trusted;
        if (!trusted) {
            known.clear();
        }
    }

    /**
     * Notes that a server reads the shared parts of a prompt.
     *
     * @param server server
     * @param sharedKey key of the shared parts
     * @param tokens tokens of the shared parts
     * @param memoryTokens memory of the server, tokens
     */
    public void recordRead(ServerName server, long sharedKey, int tokens, long memoryTokens) {
        if (homesTrusted) {
            known.add(sharedKey);
        }
        caches.computeIfAbsent(server, name -> new Cache()).put(sharedKey, tokens, (long) (memoryTokens * CACHE_SHARE));
    }

    /**
     * Returns the parts that a server probably keeps.
     *
     * @param server server
     * @return tokens of the parts by key, least recently used first
     */
    public Map<Long, Integer> cachedParts(ServerName server) {
        Cache cache = caches.get(server);
        return cache == null ? Map.of() : new LinkedHashMap<>(cache.parts);
    }

    /**
     * Returns the servers of which parts are known.
     *
     * @return servers
     */
    public Set<ServerName> servers() {
        return Set.copyOf(caches.keySet());
    }

    /**
     * Forgets what a server kept.
     *
     * @param server server that has started again or is gone
     */
    public void removeServer(ServerName server) {
        caches.remove(server);
    }

    private static final class Cache {

        private final Map<Long, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
        private long tokens;

        private void put(long key, int size, long limit) {
            Integer before = parts.put(key, size);
            tokens += size - (before == null ? 0 : before);
            Iterator<Map.Entry<Long, Integer>> eldest = parts.entrySet().iterator();
            while (tokens > limit && parts.size() > 1) {
                tokens -= eldest.next().getValue();
                eldest.remove();
            }
        }
    }
}
