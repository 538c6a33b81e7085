package org.coltsfootquay.decision.admission;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Tracks the demand of each workspace for each service, at this router and at its peers; not thread-safe.
 *
 * <p>Counters decay exponentially, so that neither idle time nor earlier heavy use affects a workspace for long.
 */
public final class DemandTracker {

    /** Time constant of the decay; demand then counts for about the 4 s over which shares are compared. */
    public static final Duration DECAY_TIME_CONSTANT = Duration.ofSeconds(3);

    /** Counters below this number of tokens are removed. */
    private static final double NEGLIGIBLE_TOKENS = 1;

    private final Map<ServiceName, Map<WorkspaceId, Demand>> localDemands = new HashMap<>();
    private final Map<RouterId, Map<ServiceName, Map<WorkspaceId, Demand>>> peers = new HashMap<>();

    /** Sums over all peers by service, updated with each report because a large fleet reports 100 times a second. */
    private final Map<ServiceName, Map<WorkspaceId, PeerTotal>> peerTotals = new HashMap<>();

    private long decayedNanos;

    /**
     * Creates a tracker without demand.
     *
     * @param nowNanos current time
     */
    public DemandTracker(long nowNanos) {
        decayedNanos = nowNanos;
    }

    /**
     * Records that a workspace requested a service.
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
     * Records that a request was dispatched to a server.
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
     * Withdraws a dispatched request whose server has not served it, as if it had not been dispatched.
     *
     * @param service service
     * @param workspace workspace
     * @param tokens size of the request
     * @param dispatchedNanos time at which the request was recorded as dispatched
     * @param nowNanos current time
     */
    public void withdrawDispatched(
            ServiceName service, WorkspaceId workspace, double tokens, long dispatchedNanos, long nowNanos) {
        decay(nowNanos);
        Map<WorkspaceId, Demand> demands = localDemands.getOrDefault(service, new HashMap<>());
        double left = tokens * decayFactor(nowNanos - dispatchedNanos);
        demands.computeIfPresent(
                workspace,
                (id, demand) -> new Demand(demand.requestedTokens(), Math.max(0, demand.dispatchedTokens() - left)));
    }

    /**
     * Replaces the demand that a peer reported.
     *
     * @param peer peer
     * @param demands demands by service and workspace
     */
    public void replacePeerReport(RouterId peer, Map<ServiceName, Map<WorkspaceId, Demand>> demands) {
        addReport(demands, 1);
        Map<ServiceName, Map<WorkspaceId, Demand>> previous = peers.put(peer, demands);
        if (previous != null) {
            addReport(previous, -1);
        }
    }

    /**
     * Replaces the demand that a peer reports for some workspaces; its other workspaces keep theirs.
     *
     * @param peer peer
     * @param demands new demands by service and workspace
     */
    public void updatePeerReport(RouterId peer, Map<ServiceName, Map<WorkspaceId, Demand>> demands) {
        Map<ServiceName, Map<WorkspaceId, Demand>> report = new HashMap<>(peers.getOrDefault(peer, Map.of()));
        demands.forEach((service, workspaces) -> {
            Map<WorkspaceId, Demand> merged = new HashMap<>(report.getOrDefault(service, Map.of()));
            merged.putAll(workspaces);
            report.put(service, merged);
        });
        replacePeerReport(peer, report);
    }

    /**
     * Removes the demand that a peer reported.
     *
     * @param peer peer
     */
    public void removePeer(RouterId peer) {
        Map<ServiceName, Map<WorkspaceId, Demand>> previous = peers.remove(peer);
        if (previous != null) {
            addReport(previous, -1);
        }
    }

    private void addReport(Map<ServiceName, Map<WorkspaceId, Demand>> report, int sign) {
        report.forEach((service, demands) -> {
            Map<WorkspaceId, PeerTotal> totals = peerTotals.computeIfAbsent(service, name -> new HashMap<>());
            demands.forEach((workspace, demand) -> totals.merge(
                    workspace, new PeerTotal(demand.times(sign), sign), (total, change) -> total.plus(change)));
        });
    }

    /**
     * Returns the demand of the requests that arrived at this router.
     *
     * @param nowNanos current time
     * @return demands by service and workspace
     */
    public Map<ServiceName, Map<WorkspaceId, Demand>> localDemands(long nowNanos) {
        decay(nowNanos);
        return localDemands;
    }

    /**
     * Returns the demand for a service, summed over all routers.
     *
     * @param service service
     * @param nowNanos current time
     * @return demands by workspace
     */
    public Map<WorkspaceId, Demand> totalDemands(ServiceName service, long nowNanos) {
        decay(nowNanos);
        Map<WorkspaceId, Demand> total = new HashMap<>();
        peerTotals.getOrDefault(service, Map.of()).forEach((workspace, sum) -> total.put(workspace, sum.demand));
        localDemands
                .getOrDefault(service, Map.of())
                .forEach((workspace, demand) -> total.merge(workspace, demand, Demand::plus));
        return total;
    }

    /**
     * Returns the max-min fair share: the tokens that each workspace may have dispatched when the sum of all dispatched
     * tokens is divided evenly among the workspaces that request more than their share.
     *
     * @param demands demands of all workspaces
     * @return share in tokens; {@link Double#MAX_VALUE} if everything that was requested was dispatched
     */
    public static double maxMinFairShare(Collection<Demand> demands) {
        double capacity = demands.stream().mapToDouble(Demand::dispatchedTokens).sum();
        double[] requested =
                demands.stream().mapToDouble(Demand::requestedTokens).sorted().toArray();
        double remaining = capacity;
        for (int i = 0; i < requested.length; i++) {
            double share = remaining / (requested.length - i);
            if (requested[i] > share) {
                return share;
            }
            remaining -= requested[i];
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
        double factor = decayFactor(elapsed);
        for (Map<WorkspaceId, Demand> demands : localDemands.values()) {
            demands.replaceAll((workspace, demand) -> demand.times(factor));
            demands.values()
                    .removeIf(demand -> demand.requestedTokens() < NEGLIGIBLE_TOKENS
                            && demand.dispatchedTokens() < NEGLIGIBLE_TOKENS);
        }
    }

    private static double decayFactor(long elapsedNanos) {
        return Math.exp(-(double) elapsedNanos / DECAY_TIME_CONSTANT.toNanos());
    }

    /**
     * Sum of the reports of all peers on a workspace.
     *
     * @param demand sum; exact, since reports have whole numbers of tokens
     * @param reports number of peers that report the workspace
     */
    private record PeerTotal(Demand demand, int reports) {

        /** Returns the sum with a change; null if no peer reports the workspace any more. */
        private PeerTotal plus(PeerTotal change) {
            int total = reports + change.reports;
            return total == 0 ? null : new PeerTotal(demand.plus(change.demand), total);
        }
    }
}
