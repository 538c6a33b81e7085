package org.coltsfootquay.decision.admission;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Demand of workspaces on services over all routers; not thread-safe.
 *
 * <p>Counters decay exponentially, so that a workspace that was idle has no credit and no debt for long.
 */
public final class DemandTracker {

    /** Time constant of the decay: demand counts for about the four seconds over which shares are compared. */
    public static final Duration DECAY_TIME_CONSTANT = Duration.ofSeconds(3);

    /** Demand below which a counter is dropped, tokens. */
    private static final double NEGLIGIBLE = 1;

    private final Map<ServiceName, Map<WorkspaceId, Demand>> localDemands = new HashMap<>();
    private final Map<RouterId, Map<ServiceName, Map<WorkspaceId, Demand>>> peers = new HashMap<>();

    /** Sums over the peers by service; computed when they are read after a new report. */
    private final Map<ServiceName, Map<WorkspaceId, Demand>> peerTotals = new HashMap<>();

    private long decayedNanos;

    /**
     * Creates an empty board.
     *
     * @param nowNanos current time
     */
    public DemandTracker(long nowNanos) {
        decayedNanos = nowNanos;
    }

    /**
     * Notes a request.
     *
     * @param service service
     * @param workspace workspace
     * @param tokens size of the request
     * @param nowNanos current time
     */
    public void recordRequested(ServiceName service, WorkspaceId workspace, double tokens, long nowNanos) {
        decay(nowNanos);
        add(service, workspace, new Demand(tokens, 0));
    }

    /**
     * Notes that a request was sent to a server.
     *
     * @param service service
     * @param workspace workspace
     * @param tokens size of the request
     * @param nowNanos current time
     */
    public void recordDispatched(ServiceName service, WorkspaceId workspace, double tokens, long nowNanos) {
        decay(nowNanos);
        add(service, workspace, new Demand(0, tokens));
    }

    /**
     * Replaces what a peer reports.
     *
     * @param peer peer
     * @param demands demands by service and workspace
     */
    public void replacePeerReport(RouterId peer, Map<ServiceName, Map<WorkspaceId, Demand>> demands) {
        peers.put(peer, demands);
        peerTotals.clear();
    }

    /**
     * Drops what a peer reported.
     *
     * @param peer peer
     */
    public void removePeer(RouterId peer) {
        peers.remove(peer);
        peerTotals.clear();
    }

    /**
     * Returns the demand at this router.
     *
     * @param nowNanos current time
     * @return demands by service and workspace
     */
    public Map<ServiceName, Map<WorkspaceId, Demand>> localDemands(long nowNanos) {
        decay(nowNanos);
        return localDemands;
    }

    /**
     * Returns the demand over all routers.
     *
     * @param service service
     * @param nowNanos current time
     * @return demands by workspace
     */
    public Map<WorkspaceId, Demand> totalDemands(ServiceName service, long nowNanos) {
        decay(nowNanos);
        Map<WorkspaceId, Demand> total = new HashMap<>(peerTotals.computeIfAbsent(service, this::peerTotal));
        localDemands.getOrDefault(service, Map.of())
                .forEach((workspace, demand) -> total.merge(workspace, demand, Demand::plus));
        return total;
    }

    private Map<WorkspaceId, Demand> peerTotal(ServiceName service) {
        Map<WorkspaceId, Demand> total = new HashMap<>();
        for (Map<ServiceName, Map<WorkspaceId, Demand>> report : peers.values()) {
            report.getOrDefault(service, Map.of())
                    .forEach((workspace, demand) -> total.merge(workspace, demand, Demand::plus));
        }
        return total;
    }

    /**
     * Returns the max-min fair level: the largest sent demand that a workspace may have when all that were sent are
     * divided evenly among the workspaces that ask for more.
     *
     * @param demands demands of all workspaces
     * @return level in tokens, the largest value if everything asked was sent
     */
    public static double maxMinFairShare(Collection<Demand> demands) {
        double capacity = demands.stream().mapToDouble(Demand::dispatchedTokens).sum();
        double[] asked = demands.stream().mapToDouble(Demand::requestedTokens).sorted().toArray();
        double left = capacity;
        for (int i = 0; i < asked.length; i++) {
            double evenly = left / (asked.length - i);
            if (asked[i] > evenly) {
                return evenly;
            }
            left -= asked[i];
        }
        return Double.MAX_VALUE;
    }

    private void add(ServiceName service, WorkspaceId workspace, Demand demand) {
        localDemands.computeIfAbsent(service, name -> new HashMap<>()).merge(workspace, demand, Demand::plus);
    }

    private void decay(long nowNanos) {
        long elapsed = nowNanos - decayedNanos;
        if (elapsed <= 0) {
            return;
        }
        decayedNanos = nowNanos;
        double factor = Math.exp(-(double) elapsed / DECAY_TIME_CONSTANT.toNanos());
        for (Map<WorkspaceId, Demand> demands : localDemands.values()) {
            demands.replaceAll((workspace, demand) -> demand.times(factor));
            demands.values().removeIf(demand -> demand.requestedTokens() < NEGLIGIBLE && demand.dispatchedTokens() < NEGLIGIBLE);
        }
    }
}
