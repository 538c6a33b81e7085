package org.coltsfootquay.decision.selection;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Selects the model engine with the lowest cost, based on the expected time to the first token.
 *
 * <p>Suits workloads in which most of a prompt is shared with other requests. By rendezvous hashing, all routers prefer
 * the same home engine for a shared part without exchanging messages. They use another engine when the prefill queue
 * of the home takes longer than prefilling the shared part elsewhere.
 */
public final class PromptLocalitySelector implements ServerSelector {

    /** Prefill rate of an engine in tokens per millisecond; source: the engines' data sheet. */
    private static final double PREFILL_TOKENS_PER_MILLI = 54.6;

    /** Time from the end of prefill to the first token, milliseconds; source: the engines' data sheet. */
    private static final double FIRST_TOKEN_MILLIS = 61;

    /** Estimated delay that each running request adds to the first token, milliseconds. */
    private static final double RUNNING_REQUEST_MILLIS = 1.5;

    /**
     * Weight of a cache miss, as a multiple of its prefill time and in addition to it: the miss delays later requests
     * and evicts other parts from the cache.
     */
    private static final double CACHE_MISS_WEIGHT = 6;

    /** Penalty of an engine that is not the home of the shared part, milliseconds; decides where a new part is read. */
    private static final double NOT_HOME_PENALTY_MILLIS = 40;

    /** Penalty of an engine in another zone, milliseconds: weighs the price of cross-zone traffic against the wait. */
    private static final double CROSS_ZONE_PENALTY_MILLIS = 12;

    /** Penalty of an engine that fails all its requests, milliseconds; exceeds the wait of any queue. */
    private static final double FAILURE_PENALTY_MILLIS = 8000;

    /** Fraction of the memory that running requests may occupy besides shared parts; the rest caches shared parts. */
    private static final double RUNNING_MEMORY_SHARE = 1 - PromptCacheView.CACHE_SHARE;

    /** Penalty of an engine whose slots or memory are full, milliseconds: about the time until a request ends. */
    private static final double FULL_PENALTY_MILLIS = 1500;

    private final ZoneName zone;
    private final LoadTracker loads;
    private final PromptCacheView caches;
    private final ServerHealth health;
    private final long memoryTokens;

    /** Hashes of server names, cached because every request compares them; never evicted. */
    private final Map<ServerName, Long> serverHashes = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param zone zone of this router
     * @param loads loads of servers
     * @param caches shared parts that servers have cached
     * @param health health of servers
     * @param memoryTokens memory of one engine in tokens; 0 if unknown
     */
    public PromptLocalitySelector(
            ZoneName zone, LoadTracker loads, PromptCacheView caches, ServerHealth health, long memoryTokens) {
        this.zone = ArgumentUtils.requireValue(zone, "zone");
        this.loads = ArgumentUtils.requireValue(loads, "loads");
        this.caches = ArgumentUtils.requireValue(caches, "caches");
        this.health = ArgumentUtils.requireValue(health, "health");
        this.memoryTokens = memoryTokens;
    }

    @Override
    public Optional<SelectedServer> select(List<BackendEntry> candidates, Prompt prompt) {
        long sharedPartsHash = prompt.sharedPartsHash();
        ServerName home = home(candidates, sharedPartsHash);
        BackendEntry best = null;
        double bestCost = Double.MAX_VALUE;
        double bestMillis = 0;
        long bestTokens = 0;
        for (BackendEntry entry : candidates) {
            boolean cached = caches.isCached(entry.server(), sharedPartsHash)
                    || (entry.server().equals(home) && caches.isAssumedCachedAtHome(sharedPartsHash));
            int missedTokens = cached ? 0 : prompt.sharedTokens();
            long prefillTokens = (long) prompt.tokens() - prompt.sharedTokens() + missedTokens;
            double millis = expectedMillis(entry, prefillTokens, prompt);
            double cost = millis
                    + CACHE_MISS_WEIGHT * missedTokens / PREFILL_TOKENS_PER_MILLI
                    + (entry.server().equals(home) ? 0 : NOT_HOME_PENALTY_MILLIS)
                    + (entry.zone().equals(zone) ? 0 : CROSS_ZONE_PENALTY_MILLIS)
                    + FAILURE_PENALTY_MILLIS * health.failureRate(entry.server());
            if (cost < bestCost) {
                best = entry;
                bestCost = cost;
                bestMillis = millis;
                bestTokens = prefillTokens;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        return Optional.of(
                new SelectedServer(best, bestTokens, Duration.ofMillis((long) bestMillis), queueTime(best.server())));
    }

    private Duration queueTime(ServerName server) {
        return Duration.ofMillis(
                (long) (FIRST_TOKEN_MILLIS + loads.totalLoad(server).unreadTokens() / PREFILL_TOKENS_PER_MILLI));
    }

    private double expectedMillis(BackendEntry entry, long prefillTokens, Prompt prompt) {
        ServerLoad load = loads.totalLoad(entry.server());
        double millis = FIRST_TOKEN_MILLIS
                + (load.unreadTokens() + prefillTokens) / PREFILL_TOKENS_PER_MILLI
                + load.requests() * RUNNING_REQUEST_MILLIS;
        boolean slotsFull = load.requests() >= entry.slots();
        long held =
                load.heldTokens() + ServerLoad.ofRequest(prompt, prefillTokens).heldTokens();
        boolean memoryFull = memoryTokens > 0 && held > memoryTokens * RUNNING_MEMORY_SHARE;
        return slotsFull || memoryFull ? millis + FULL_PENALTY_MILLIS : millis;
    }

    /** Returns the home engine of a shared part: the one with the highest rendezvous hash. */
    private ServerName home(List<BackendEntry> candidates, long sharedPartsHash) {
        ServerName home = null;
        long highest = Long.MIN_VALUE;
        for (BackendEntry entry : candidates) {
            long server = serverHashes.computeIfAbsent(entry.server(), name -> HashUtils.hash(name.value()));
            long weight = HashUtils.mix(sharedPartsHash ^ server);
            if (home == null || weight > highest) {
                home = entry.server();
                highest = weight;
            }
        }
        return home;
    }
}
