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
 * Picks the model engine with the shortest expected time to the first token.
 *
 * <p>Answers loads in which most of a prompt is shared with other requests: all routers prefer the same home for a
 * shared part without a message, by rendezvous hashing, and leave it when its queue of unread tokens takes longer than
 * reading the shared part elsewhere.
 */
public final class PromptLocalitySelector implements ServerSelector {

    /** Prompt tokens that an engine reads in a millisecond; source: the engines' data sheet. */
    private static final double READ_TOKENS_PER_MILLI = 54.6;

    /** Time from the end of reading to the first token, milliseconds; source: the engines' data sheet. */
    private static final double FIRST_TOKEN_MILLIS = 61;

    /** Time that each running request adds to the wait for the first token, milliseconds; an estimate, not measured. */
    private static final double RUNNING_REQUEST_MILLIS = 1.5;

    /**
     * Weight of reading a shared part, beside the time it takes: it delays later requests and drives other parts
     * out of the cache.
     */
    private static final double MISS_WEIGHT = 6;

    /** Cost of an engine that is not the home of the shared part, milliseconds; decides where a new part is read. */
    private static final double OTHER_HOME_MILLIS = 40;

    /** Cost of an engine in another zone, milliseconds: the price of its traffic weighed against the wait. */
    private static final double OTHER_ZONE_MILLIS = 12;

    /** Cost of an engine that fails all its requests, milliseconds: more than any queue. */
    private static final double FAILURE_MILLIS = 8000;

    /** Part of the memory that running requests may hold besides shared parts; the rest keeps shared parts. */
    private static final double RUNNING_SHARE = 1 - PromptCacheView.CACHE_SHARE;

    /** Cost of an engine whose slots or memory are full, milliseconds: about the time until a request ends. */
    private static final double FULL_MILLIS = 1500;

    private final ZoneName zone;
    private final LoadTracker loads;
    private final PromptCacheView caches;
    private final ServerHealth health;
    private final long memoryTokens;

    /** Hashes of server names, which every request compares; kept as long as this selector. */
    private final Map<ServerName, Long> serverHashes = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param zone zone of this router
     * @param loads loads of servers
     * @param caches shared parts that servers keep
     * @param health health of servers
     * @param memoryTokens memory of one engine, tokens; 0 if unknown
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
        long key = prompt.sharedPartsHash();
        ServerName home = home(candidates, key);
        BackendEntry best = null;
        double bestCost = Double.MAX_VALUE;
        double bestMillis = 0;
        long bestTokens = 0;
        for (BackendEntry entry : candidates) {
            boolean kept = caches.isCached(entry.server(), key) || (entry.server().equals(home) && caches.isAssumedCachedAtHome(key));
            int missing = kept ? 0 : prompt.sharedTokens();
            long newTokens = (long) prompt.tokens() - prompt.sharedTokens() + missing;
            double millis = expectedMillis(entry, newTokens, prompt);
            double cost = millis
                    + MISS_WEIGHT * missing / READ_TOKENS_PER_MILLI
                    + (entry.server().equals(home) ? 0 : OTHER_HOME_MILLIS)
                    + (entry.zone().equals(zone) ? 0 : OTHER_ZONE_MILLIS)
                    + FAILURE_MILLIS * health.failureRate(entry.server());
            if (cost < bestCost) {
                best = entry;
                bestCost = cost;
                bestMillis = millis;
                bestTokens = newTokens;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        return Optional.of(new SelectedServer(best, bestTokens, Duration.ofMillis((long) bestMillis), queue(best.server())));
    }

    private Duration queue(ServerName server) {
        return Duration.ofMillis(
                (long) (FIRST_TOKEN_MILLIS + loads.totalLoad(server).unreadTokens() / READ_TOKENS_PER_MILLI));
    }

    private double expectedMillis(BackendEntry entry, long newTokens, Prompt prompt) {
        ServerLoad load = loads.totalLoad(entry.server());
        double millis = FIRST_TOKEN_MILLIS
                + (load.unreadTokens() + newTokens) / READ_TOKENS_PER_MILLI
                + load.requests() * RUNNING_REQUEST_MILLIS;
        boolean slotsFull = load.requests() >= entry.slots();
        long held = load.heldTokens() + ServerLoad.ofRequest(prompt, newTokens).heldTokens();
        boolean memoryFull = memoryTokens > 0 && held > memoryTokens * RUNNING_SHARE;
        return slotsFull || memoryFull ? millis + FULL_MILLIS : millis;
    }

    /** Returns the engine that all routers prefer for a shared part. */
    private ServerName home(List<BackendEntry> candidates, long key) {
        ServerName home = null;
        long highest = Long.MIN_VALUE;
        for (BackendEntry entry : candidates) {
            long server = serverHashes.computeIfAbsent(entry.server(), name -> HashUtils.hash(name.value()));
            long weight = HashUtils.mix(key ^ server);
            if (home == null || weight > highest) {
                home = entry.server();
                highest = weight;
            }
        }
        return home;
    }
}
