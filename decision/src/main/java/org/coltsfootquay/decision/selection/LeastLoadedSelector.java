package org.coltsfootquay.decision.selection;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Picks the application server with the fewest requests in flight, and among equals one of the own zone.
 *
 * <p>Answers short requests of similar length, for which requests in flight predict the wait.
 */
public final class LeastLoadedSelector implements ServerSelector {

    /** Advantage of the own zone in requests in flight: only equal servers are told apart by zone. */
    private static final double OWN_ZONE_ADVANTAGE = 0.9;

    /** Requests in flight that a server counts for when it fails all its requests. */
    private static final double FAILURE_WEIGHT = 40;

    /** Largest random part of a cost, so that routers that know the same do not all pick the same server. */
    private static final double JITTER = 0.2;

    private final ZoneName zone;
    private final LoadTracker loads;
    private final ServerHealth health;
    private final RandomGenerator random;

    /**
     * Creates a selector.
     *
     * @param zone zone of this router
     * @param loads loads of servers
     * @param health health of servers
     * @param random source of the random part
     */
    public LeastLoadedSelector(ZoneName zone, LoadTracker loads, ServerHealth health, RandomGenerator random) {
        this.zone = ArgumentUtils.requireValue(zone, "zone");
        this.loads = ArgumentUtils.requireValue(loads, "loads");
        this.health = ArgumentUtils.requireValue(health, "health");
        this.random = ArgumentUtils.requireValue(random, "random");
    }

    @Override
    public Optional<SelectedServer> select(List<BackendEntry> candidates, Prompt prompt) {
        BackendEntry best = null;
        double bestCost = Double.MAX_VALUE;
        for (BackendEntry entry : candidates) {
            double cost = loads.totalLoad(entry.server()).requests()
                    - (entry.zone().equals(zone) ? OWN_ZONE_ADVANTAGE : 0)
                    + FAILURE_WEIGHT * health.failureRate(entry.server())
                    + random.nextDouble(JITTER);
            if (cost < bestCost) {
                best = entry;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best).map(entry -> new SelectedServer(entry, 0, Duration.ZERO, Duration.ZERO));
    }
}
