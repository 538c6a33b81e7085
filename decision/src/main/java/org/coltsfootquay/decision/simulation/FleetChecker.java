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
import org.coltsfootquay.decision.invariant.ConfigurationInvariant;
import org.coltsfootquay.decision.invariant.CutOffInvariant;
import org.coltsfootquay.decision.invariant.InvariantMonitor;
import org.coltsfootquay.decision.invariant.LeaveInvariant;
import org.coltsfootquay.decision.invariant.ShareInvariant;
import org.coltsfootquay.decision.invariant.WholeHolderInvariant;
import org.coltsfootquay.decision.membership.LeaseState;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.ownership.OwnedServer;
import org.coltsfootquay.decision.ownership.OwnerMap;
import org.coltsfootquay.decision.ownership.ServerRow;

/** Checks the invariants of a simulated fleet after each step, and whether it has settled. */
public final class FleetChecker {

    /** Time without faults after which a router has contact: the longest backoff of 1 s and one call timeout of 2 s. */
    private static final Duration CONNECTED_AFTER = Duration.ofSeconds(3);

    private final SimulatedFleet fleet;
    private final ShareInvariant shares;
    private final WholeHolderInvariant holders;
    private final ConfigurationInvariant configurations;
    private final LeaveInvariant leaves;
    private final CutOffInvariant cutOffs;
    private final Map<RouterId, Long> healthySince = new HashMap<>();
    private final Map<RouterId, Long> lastContact = new HashMap<>();

    /**
     * Creates a checker.
     *
     * @param fleet fleet
     * @param monitor receiver of violations
     */
    public FleetChecker(SimulatedFleet fleet, InvariantMonitor monitor) {
        this.fleet = fleet;
        this.shares = new ShareInvariant(monitor);
        this.holders = new WholeHolderInvariant(monitor);
        this.configurations = new ConfigurationInvariant(monitor);
        this.leaves = new LeaveInvariant(monitor);
        this.cutOffs = new CutOffInvariant(monitor);
    }

    /** Checks all invariants now. */
    public void check() {
        long now = fleet.nowNanos();
        FleetConfiguration stored = fleet.storedConfiguration();
        stored.zones()
                .values()
                .forEach(zone -> leaves.zone(zone.name(), zone.state() == AdministrativeState.LEAVING, now));
        stored.servers()
                .values()
                .forEach(server -> leaves.server(server.name(), server.state() == AdministrativeState.LEAVING, now));
        Map<ServerName, Map<RouterId, Double>> used = new TreeMap<>();
        Map<ServerName, TreeSet<RouterId>> whole = new TreeMap<>();
        for (SimulatedRouter router : fleet.routers()) {
            boolean connected = noteContact(router, now);
            if (!router.active()) {
                continue;
            }
            configurations.check(
                    router.id() + "/" + router.process(),
                    router.configuration().version(),
                    router.control().configuration().objectInForce());
            Map<ServerName, OwnedServer> admitting = router.admitting();
            admitting.forEach((name, server) -> {
                if (!server.checksFencing()) {
                    used.computeIfAbsent(name, key -> new TreeMap<>()).put(router.id(), server.share());
                }
                if (router.leaseConfirmed()) {
                    whole.computeIfAbsent(name, key -> new TreeSet<>()).add(router.id());
                }
                BackendServer entry = stored.servers().get(name);
                if (connected && entry != null) {
                    leaves.granted(router.id(), name, entry.zone(), now);
                }
            });
            if (!admitting.isEmpty() && knowsPeers(router)) {
                cutOffs.granted(router.id(), lastContact.get(router.id()), now);
            }
        }
        used.forEach(shares::check);
        whole.forEach(holders::check);
    }

    /**
     * Returns what still keeps the fleet from its settled state: every router a member with the newest configuration,
     * every server of a zone in service owned by exactly one router with its whole limit.
     *
     * @return problems; empty when the fleet has settled
     */
    public List<String> unsettled() {
        List<String> problems = new ArrayList<>();
        FleetConfiguration stored = fleet.storedConfiguration();
        List<SimulatedRouter> running = fleet.routers().stream()
                .filter(SimulatedRouter::running)
                .filter(router -> !router.stopping())
                .toList();
        for (SimulatedRouter router : running) {
            if (!router.leaseValid()) {
                problems.add(router.id() + " has no valid lease");
            }
            if (router.configuration().version() != stored.version()) {
                problems.add(router.id() + " has version "
                        + router.configuration().version() + ", the store " + stored.version());
            }
            int members =
                    router.blackboard().read(MembershipView.TOPIC).members().size();
            if (members
                    != fleet.routers().stream().filter(SimulatedRouter::running).count()) {
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
            OwnedServer owned = router.admitting().get(server.name());
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
                Optional<RouterId> seen = Optional.ofNullable(router.blackboard()
                                .read(OwnerMap.TOPIC)
                                .owners()
                                .get(server.name()))
                        .map(OwnerMap.Owner::router);
                if (!seen.equals(Optional.of(owners.get(0)))) {
                    problems.add(router.id() + " sees owner " + seen + " of " + server.name());
                }
            }
        }
    }

    /** Notes the contacts that the faults allow, and tells whether the router counts as connected. */
    private boolean noteContact(SimulatedRouter router, long now) {
        RouterId id = router.id();
        boolean store = fleet.faults().storeReachable(id) && !fleet.faults().isStoreDown();
        boolean peers = fleet.routers().stream()
                .anyMatch(peer ->
                        peer != router && peer.active() && fleet.faults().connected(id, peer.id()));
        if (store || peers) {
            lastContact.put(id, now);
        } else {
            lastContact.putIfAbsent(id, now);
        }
        boolean healthy = router.active() && fleet.faults().storeHealthy(id);
        if (healthy) {
            healthySince.putIfAbsent(id, now);
        } else {
            healthySince.remove(id);
        }
        return healthy && now - healthySince.get(id) >= CONNECTED_AFTER.toNanos();
    }

    private static boolean knowsPeers(SimulatedRouter router) {
        return router.blackboard().read(LeaseState.TOPIC).incarnation() == 0
                || router.blackboard().read(MembershipView.TOPIC).members().keySet().stream()
                        .anyMatch(id -> !id.equals(router.id()));
    }
}
