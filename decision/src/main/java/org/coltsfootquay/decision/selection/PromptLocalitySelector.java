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
import org.coltsfootquay.decision.latency.EngineLatencyModel;
import org.coltsfootquay.decision.latency.PrefillBacklog;

/**
 * Selects the model engine with the lowest cost, based on the expected time to the first event.
 *
 * <p>Suits workloads in which most of a prompt is shared with other requests. By rendezvous hashing, all routers prefer
 * the same home engine for a shared part without exchanging messages. They use another engine when the wait at the home
 * takes longer than prefilling the shared part elsewhere.
 */
public final class PromptLocalitySelector implements ServerSelector {

    /**
     * Weight of a cache miss, as a multiple of its prefill time and in addition to it: the miss delays later requests
     * and evicts other parts from the cache.
     */
    private static final double CACHE_MISS_WEIGHT = 8;

    /** Maximum additional cost of a cache miss, in targets: above it, the request itself is better served elsewhere. */
    private static final double MAX_CACHE_MISS_PENALTY = 2;

    /**
     * Cost of a running request, as a multiple of the time in which one of the slots becomes free. Running requests
     * last longer than the reports of other routers take, so they balance large fleets better than the queues do.
     */
    private static final double RUNNING_REQUEST_WEIGHT = 0.03;

    /** Penalty of an engine that is not the home of the shared part, fraction of the target; places a new part. */
    private static final double NOT_HOME_PENALTY = 0.05;

    /** Penalty of an engine in another zone, fraction of the target: weighs cross-zone traffic against the wait. */
    private static final double CROSS_ZONE_PENALTY = 0.015;

    /** Penalty of an engine that fails all its requests, in targets; exceeds the cost of reading a shared part. */
    private static final double FAILURE_PENALTY = 8;

    /** Failure rate that is not penalized: after one failure, an engine keeps the shared parts that it has cached. */
    private static final double TOLERATED_FAILURE_RATE = 0.15;

    /** Target that penalties refer to for routes without a target, milliseconds; a common target of chat services. */
    private static final double DEFAULT_TARGET_MILLIS = 800;

    /** Fraction of the memory that running requests may occupy besides shared parts; the rest caches shared parts. */
    private static final double RUNNING_MEMORY_SHARE = 1 - PromptCacheView.CACHE_SHARE;

    private static final double NANOS_PER_MILLI = 1e6;

    private final ZoneName zone;
    private final LoadTracker loads;
    private final PromptCacheView caches;
    private final ServerHealth health;
    private final EngineLatencyModel model;
    private final PrefillBacklog backlog;
    private final long memoryTokens;
    private final CandidateSampler sampler;

    /** Hashes of server names, cached because every request compares them; never evicted. */
    private final Map<ServerName, Long> serverHashes = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param zone zone of this router
     * @param loads loads of servers
     * @param caches shared parts that servers have cached
     * @param health health of servers
     * @param model latencies of engines
     * @param backlog prompt tokens that wait at engines
     * @param memoryTokens memory of one engine in tokens; 0 if unknown
     * @param sampler choice of the engines that are compared
     */
    public PromptLocalitySelector(
            ZoneName zone,
            LoadTracker loads,
            PromptCacheView caches,
            ServerHealth health,
            EngineLatencyModel model,
            PrefillBacklog backlog,
            long memoryTokens,
            CandidateSampler sampler) {
        this.zone = ArgumentUtils.requireValue(zone, "zone");
        this.loads = ArgumentUtils.requireValue(loads, "loads");
        this.caches = ArgumentUtils.requireValue(caches, "caches");
        this.health = ArgumentUtils.requireValue(health, "health");
        this.model = ArgumentUtils.requireValue(model, "model");
        this.backlog = ArgumentUtils.requireValue(backlog, "backlog");
        this.memoryTokens = memoryTokens;
        this.sampler = ArgumentUtils.requireValue(sampler, "sampler");
    }

    @Override
    public Optional<SelectedServer> select(List<BackendEntry> candidates, SelectionRequest request) {
        Prompt prompt = request.prompt();
        long sharedPartsHash = prompt.sharedPartsHash();
        int sharedTokens = prompt.sharedTokens();
        double targetMillis = request.target().isZero()
                ? DEFAULT_TARGET_MILLIS
                : request.target().toNanos() / NANOS_PER_MILLI;
        ServerName home = home(candidates, sharedPartsHash);
        Estimate best = null;
        double bestCost = Double.MAX_VALUE;
        double prefillWaitMillis = 0;
        double slotWaitMillis = 0;
        int sampled = 0;
        for (BackendEntry entry : candidates) {
            boolean included = sampler.includes(candidates.size());
            boolean cached = caches.isCached(entry.server(), sharedPartsHash)
                    || (entry.server().equals(home) && caches.isAssumedCachedAtHome(sharedPartsHash));
            if (!included && !cached && !entry.server().equals(home)) {
                continue;
            }
            int missedTokens = cached ? 0 : sharedTokens;
            Estimate estimate = estimate(entry, prompt, missedTokens, request.nowNanos());
            double cost = estimate.latencyMillis()
                    + memoryPenaltyMillis(entry.server(), prompt)
                    + loadPenaltyMillis(entry, estimate.waitingTokens())
                    + Math.min(
                            CACHE_MISS_WEIGHT * missedTokens * model.millisPerToken(entry.server()),
                            MAX_CACHE_MISS_PENALTY * targetMillis)
                    + (entry.server().equals(home) ? 0 : NOT_HOME_PENALTY * targetMillis)
                    + (entry.zone().equals(zone) ? 0 : CROSS_ZONE_PENALTY * targetMillis)
                    + FAILURE_PENALTY
                            * targetMillis
                            * Math.max(0, health.failureRate(entry.server()) - TOLERATED_FAILURE_RATE);
            if (included) {
                sampled++;
                prefillWaitMillis += estimate.prefillWaitMillis();
                slotWaitMillis += estimate.slotWaitMillis();
            }
            if (cost < bestCost) {
                best = estimate;
                bestCost = cost;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        Duration meanWait = duration(sampled == 0 ? best.prefillWaitMillis() : prefillWaitMillis / sampled);
        Duration meanSlotWait = duration(sampled == 0 ? best.slotWaitMillis() : slotWaitMillis / sampled);
        return Optional.of(best.toSelectedServer(meanWait, meanSlotWait));
    }

    private Estimate estimate(BackendEntry entry, Prompt prompt, int missedTokens, long nowNanos) {
        ServerName server = entry.server();
        ServerLoad load = loads.totalLoad(server);
        double millisPerToken = model.millisPerToken(server);
        // First events may have arrived earlier than the backlog assumes, or may be late because the engine is slower.
        double waitingTokens =
                Math.min(backlog.tokens(server, nowNanos) + load.overdueTokens(), (double) load.unreadTokens());
        double prefillWait = waitingTokens * millisPerToken;
        double slotWait = slotWaitMillis(entry, load);
        long prefillTokens = (long) prompt.tokens() - prompt.sharedTokens() + missedTokens;
        double constantMillis = model.constantMillis(server);
        return new Estimate(
                entry,
                prefillTokens,
                (long) waitingTokens,
                constantMillis + Math.max(prefillWait, slotWait) + prefillTokens * millisPerToken,
                constantMillis,
                prefillWait,
                slotWait);
    }

    /** Returns the time until enough running requests have ended for one more to start. */
    private double slotWaitMillis(BackendEntry entry, ServerLoad load) {
        int excess = load.requests() - entry.slots() + 1;
        return excess <= 0 ? 0 : excess * model.runMillis(entry.server()) / entry.slots();
    }

    /**
     * Returns the cost of the requests that are running or whose first event is not reported yet. It spreads requests
     * whose routers do not know of each other's prompts in time.
     */
    private double loadPenaltyMillis(BackendEntry entry, long waitingTokens) {
        ServerLoad load = loads.totalLoad(entry.server());
        double slotMillis = model.runMillis(entry.server()) / entry.slots();
        long unreportedTokens = Math.max(0, load.unreadTokens() - waitingTokens);
        return RUNNING_REQUEST_WEIGHT * slotMillis * load.requests()
                + unreportedTokens * model.millisPerToken(entry.server());
    }

    /**
     * Returns the time until running requests have released the memory that they take from cached shared parts. The
     * engine would start the request without delay, but read these parts again later.
     */
    private double memoryPenaltyMillis(ServerName server, Prompt prompt) {
        long held = loads.totalLoad(server).heldTokens()
                + ServerLoad.ofRequest(prompt, 0).heldTokens();
        double excess = held - memoryTokens * RUNNING_MEMORY_SHARE;
        return memoryTokens == 0 || excess <= 0 ? 0 : excess / held * model.runMillis(server);
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

    private static Duration duration(double millis) {
        return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    }

    private record Estimate(
            BackendEntry entry,
            long prefillTokens,
            long waitingTokens,
            double latencyMillis,
            double constantMillis,
            double prefillWaitMillis,
            double slotWaitMillis) {

        private SelectedServer toSelectedServer(Duration meanWait, Duration meanSlotWait) {
            return new SelectedServer(
                    entry,
                    prefillTokens,
                    waitingTokens,
                    duration(latencyMillis),
                    duration(constantMillis),
                    duration(prefillWaitMillis),
                    meanWait,
                    duration(slotWaitMillis),
                    meanSlotWait);
        }
    }
}
