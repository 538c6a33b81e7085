package org.coltsfootquay.decision.selection;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Selects the application server with the fewest requests in flight, and prefers the local zone among equals.
 *
 * <p>Suits short requests of similar duration, for which the number of requests in flight predicts the wait.
 */
public final class LeastLoadedSelector implements ServerSelector {

    /**
     * Bonus of the local zone in requests in flight; below 1, so that the zone, apart from the random part of a cost,
     * decides only between equal loads.
     */
    private static final double LOCAL_ZONE_BONUS = 0.9;

    /** Penalty, in requests in flight, of a server that fails all its requests. */
    private static final double FAILURE_PENALTY = 40;

    /** Upper bound of the random part of a cost; keeps routers with the same data from all selecting one server. */
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
     * @param random source of the random part of costs
     */
    public LeastLoadedSelector(ZoneName zone, LoadTracker loads, ServerHealth health, RandomGenerator random) {
        this.zone = ArgumentUtils.requireValue(zone, "zone");
        this.loads = ArgumentUtils.requireValue(loads, "loads");
        this.health = ArgumentUtils.requireValue(health, "health");
        this.random = ArgumentUtils.requireValue(random, "random");
    }

    @Override
    public Optional<SelectedServer> select(List<BackendEntry> candidates, SelectionRequest request) {
        BackendEntry best = null;
        double bestCost = Double.MAX_VALUE;
        for (BackendEntry entry : candidates) {
            double cost = loads.totalLoad(entry.server()).requests()
                    - (entry.zone().equals(zone) ? LOCAL_ZONE_BONUS : 0)
                    + FAILURE_PENALTY * health.failureRate(entry.server())
                    + random.nextDouble(JITTER);
            if (cost < bestCost) {
                best = entry;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best).map(SelectedServer::withoutEstimate);
    }
}
