package org.coltsfootquay.decision.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.AdministrativeState;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.invariant.CapacityShareInvariant;
import org.coltsfootquay.decision.invariant.ConfigurationVersionInvariant;
import org.coltsfootquay.decision.invariant.ExclusiveHolderInvariant;
import org.coltsfootquay.decision.invariant.InvariantMonitor;
import org.coltsfootquay.decision.invariant.IsolatedRouterInvariant;
import org.coltsfootquay.decision.invariant.LeavingMemberInvariant;
import org.coltsfootquay.decision.membership.LeaseState;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.ownership.OwnedServer;
import org.coltsfootquay.decision.ownership.OwnerMap;
import org.coltsfootquay.decision.ownership.ServerRow;

/** Checks the invariants of a simulated fleet after each step and whether the fleet has converged. */
public final class FleetInvariantChecker {

    /** Time without faults after which a router is connected: maximum backoff of 1 s plus one call timeout of 2 s. */
    private static final Duration CONNECTED_AFTER = Duration.ofSeconds(3);

    private final SimulatedFleet fleet;
    private final CapacityShareInvariant capacityShareInvariant;
    private final ExclusiveHolderInvariant holderInvariant;
    private final ConfigurationVersionInvariant versionInvariant;
    private final LeavingMemberInvariant leavingInvariant;
    private final IsolatedRouterInvariant isolationInvariant;
    private final Map<RouterId, Long> healthySinceNanos = new HashMap<>();
    private final Map<RouterId, Long> lastConnectedNanos = new HashMap<>();

    /**
     * Creates a checker.
     *
     * @param fleet fleet to check
     * @param monitor monitor that counts and records violations
     */
    public FleetInvariantChecker(SimulatedFleet fleet, InvariantMonitor monitor) {
        this.fleet = fleet;
        this.capacityShareInvariant = new CapacityShareInvariant(monitor);
        this.holderInvariant = new ExclusiveHolderInvariant(monitor);
        this.versionInvariant = new ConfigurationVersionInvariant(monitor);
        this.leavingInvariant = new LeavingMemberInvariant(monitor);
        this.isolationInvariant = new IsolatedRouterInvariant(monitor);
    }

    /** Checks all invariants against the current state of the fleet. */
    public void checkInvariants() {
        long now = fleet.nowNanos();
        FleetConfiguration stored = fleet.storedConfiguration();
        stored.zones()
                .values()
                .forEach(zone ->
                        leavingInvariant.recordZone(zone.name(), zone.state() == AdministrativeState.LEAVING, now));
        stored.servers()
                .values()
                .forEach(server -> leavingInvariant.recordServer(
                        server.name(), server.state() == AdministrativeState.LEAVING, now));
        Map<ServerName, Map<RouterId, Double>> usedShares = new TreeMap<>();
        Map<ServerName, TreeSet<RouterId>> leaseHolders = new TreeMap<>();
        for (SimulatedRouter router : fleet.routers()) {
            boolean connected = updateConnectivity(router, now);
            if (!router.isActive()) {
                continue;
            }
            versionInvariant.check(
                    router.id() + "/" + router.processNumber(),
                    router.configuration().version(),
                    router.control().configuration().objectInForce());
            Map<ServerName, OwnedServer> admitting = router.admittingServers();
            admitting.forEach((name, server) -> {
                if (!server.checksFencing()) {
                    usedShares.computeIfAbsent(name, key -> new TreeMap<>()).put(router.id(), server.share());
                }
                if (router.isLeaseConfirmed()) {
                    leaseHolders.computeIfAbsent(name, key -> new TreeSet<>()).add(router.id());
                }
                BackendServer entry = stored.servers().get(name);
                if (connected && entry != null) {
                    leavingInvariant.checkGrant(router.id(), name, entry.zone(), now);
                }
            });
            if (!admitting.isEmpty() && knowsOtherRouters(router)) {
                isolationInvariant.checkGrant(router.id(), lastConnectedNanos.get(router.id()), now);
            }
        }
        usedShares.forEach(capacityShareInvariant::check);
        leaseHolders.forEach(holderInvariant::check);
    }

    /**
     * Returns the deviations from the converged state.
     *
     * <p>The fleet has converged when every router is a member with the latest configuration and every server that
     * admits work is owned by exactly one router, which uses its whole limit; no router admits work to other servers.
     *
     * @return descriptions of the deviations; empty if the fleet has converged
     */
    public List<String> convergenceProblems() {
        List<String> problems = new ArrayList<>();
        FleetConfiguration stored = fleet.storedConfiguration();
        List<SimulatedRouter> running = fleet.routers().stream()
                .filter(SimulatedRouter::isRunning)
                .filter(router -> !router.isStopping())
                .toList();
        for (SimulatedRouter router : running) {
            if (!router.isLeaseValid()) {
                problems.add(router.id() + " has no valid lease");
            }
            if (router.configuration().version() != stored.version()) {
                problems.add(router.id() + " has version "
                        + router.configuration().version() + ", the store " + stored.version());
            }
            int members =
                    router.blackboard().read(MembershipView.TOPIC).members().size();
            if (members
                    != fleet.routers().stream()
                            .filter(SimulatedRouter::isRunning)
                            .count()) {
                problems.add(router.id() + " sees " + members + " members");
            }
        }
        for (BackendServer server : stored.servers().values()) {
            checkServer(server, stored, running, problems);
        }
        return problems;
    }

    private void checkServer(
            BackendServer server, FleetConfiguration stored, List<SimulatedRouter> running, List<String> problems) {
        List<RouterId> owners = new ArrayList<>();
        for (SimulatedRouter router : running) {
            OwnedServer owned = router.admittingServers().get(server.name());
            if (owned != null) {
                owners.add(router.id());
                if (owned.share() != 1) {
                    problems.add(server.name() + " has share " + owned.share() + " at " + router.id());
                }
            }
        }
        boolean admits = stored.admitsWork(server.name());
        if (owners.size() != (admits ? 1 : 0)) {
            problems.add(server.name() + " is admitted by " + owners + ", row "
                    + fleet.store()
                            .read(ServerRow.key(server.name()))
                            .map(row -> row.value().fields()));
        }
        if (admits && owners.size() == 1) {
            for (SimulatedRouter router : running) {
                Optional<RouterId> knownOwner = Optional.ofNullable(router.blackboard()
                                .read(OwnerMap.TOPIC)
                                .owners()
                                .get(server.name()))
                        .map(OwnerMap.Owner::router);
                if (!knownOwner.equals(Optional.of(owners.get(0)))) {
                    problems.add(router.id() + " sees owner " + knownOwner + " of " + server.name());
                }
            }
        }
    }

    /**
     * Records whether the faults let the router reach the store or a peer.
     *
     * @return true if the router has been active with a healthy store long enough to count as connected
     */
    private boolean updateConnectivity(SimulatedRouter router, long now) {
        RouterId id = router.id();
        boolean storeConnected =
                fleet.faults().isStoreReachable(id) && !fleet.faults().isStoreDown();
        boolean peerConnected = fleet.routers().stream()
                .anyMatch(peer ->
                        peer != router && peer.isActive() && fleet.faults().areConnected(id, peer.id()));
        if (storeConnected || peerConnected) {
            lastConnectedNanos.put(id, now);
        } else {
            lastConnectedNanos.putIfAbsent(id, now);
        }
        boolean healthy = router.isActive() && fleet.faults().isStoreHealthy(id);
        if (healthy) {
            healthySinceNanos.putIfAbsent(id, now);
        } else {
            healthySinceNanos.remove(id);
        }
        return healthy && now - healthySinceNanos.get(id) >= CONNECTED_AFTER.toNanos();
    }

    private static boolean knowsOtherRouters(SimulatedRouter router) {
        return router.blackboard().read(LeaseState.TOPIC).incarnation() == 0
                || router.blackboard().read(MembershipView.TOPIC).members().keySet().stream()
                        .anyMatch(id -> !id.equals(router.id()));
    }
}
