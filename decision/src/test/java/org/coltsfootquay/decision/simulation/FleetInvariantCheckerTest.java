package org.coltsfootquay.decision.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.configuration.AdministrativeState;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.control.ControlSettings;
import org.coltsfootquay.decision.invariant.Guarantee;
import org.coltsfootquay.decision.invariant.InvariantMonitor;
import org.coltsfootquay.decision.membership.AdmissionPermitSettings;
import org.coltsfootquay.decision.membership.MembershipSettings;
import org.coltsfootquay.decision.ownership.OwnedServer;
import org.coltsfootquay.decision.ownership.OwnershipSettings;
import org.coltsfootquay.decision.store.StoreWatcherSettings;
import org.junit.jupiter.api.Test;

/** Guards against invariant checks that detect nothing: each deliberately broken mechanism must be reported. */
final class FleetInvariantCheckerTest {

    private final Set<Guarantee> violated = EnumSet.noneOf(Guarantee.class);

    /** If a lease is counted 11 s too long, a partitioned holder keeps its whole share after another router claimed. */
    @Test
    void leaseCountedTooLongIsDetected() {
        SimulatedFleet fleet =
                fleet(settings -> withMembership(settings, Duration.ofSeconds(-10), Duration.ofSeconds(3)));
        FleetInvariantChecker checker = start(fleet);
        fleet.faults().setPartitionedFromStore(fleet.routers().get(1).id(), true);

        advance(fleet, checker, Duration.ofSeconds(25));

        assertEquals(EnumSet.of(Guarantee.G3, Guarantee.G10), violated);
    }

    /** A holder that relies on an outdated outage report keeps its whole share after the store has recovered. */
    @Test
    void outdatedOutageReportIsDetected() {
        SimulatedFleet fleet = fleet(settings -> withMaxReportAge(settings, Duration.ofMinutes(5)));
        FleetInvariantChecker checker = start(fleet);
        SimulatedRouter holder = fleet.routers().get(1);
        fleet.faults().setStoreDown(true);
        advance(fleet, checker, Duration.ofSeconds(25));
        fleet.faults().setPartitionedFromStore(holder.id(), true);
        fleet.faults().setPartitionedFromPeers(holder.id(), true);
        fleet.faults().setStoreDown(false);

        advance(fleet, checker, Duration.ofSeconds(40));

        assertTrue(violated.contains(Guarantee.G3), () -> "violated: " + violated);
    }

    /** If the configuration is polled only every 10 s, a connected router keeps granting work on a leaving server. */
    @Test
    void slowConfigurationPollIsDetectedForServers() {
        SimulatedFleet fleet = fleet(FleetInvariantCheckerTest::withSlowPolling);
        FleetInvariantChecker checker = start(fleet);
        OwnedServer server = awaitPollByOwner(fleet, checker);
        fleet.routers().get(0).control().submitter().changeServer(server.name(), AdministrativeState.LEAVING, r -> {});

        advance(fleet, checker, Duration.ofSeconds(5));

        assertEquals(EnumSet.of(Guarantee.G8), violated);
    }

    /** If the configuration is polled only every 10 s, a connected router keeps granting work in a leaving zone. */
    @Test
    void slowConfigurationPollIsDetectedForZones() {
        SimulatedFleet fleet = fleet(FleetInvariantCheckerTest::withSlowPolling);
        FleetInvariantChecker checker = start(fleet);
        OwnedServer server = awaitPollByOwner(fleet, checker);
        ZoneName zone = fleet.storedConfiguration().servers().get(server.name()).zone();
        fleet.routers().get(0).control().submitter().changeZone(zone, AdministrativeState.LEAVING, r -> {});

        advance(fleet, checker, Duration.ofSeconds(5));

        assertEquals(EnumSet.of(Guarantee.G4), violated);
    }

    /**
     * Partitions the first router from its peers, so that they learn of its changes only by polling, and waits until
     * another owner has just polled.
     */
    private static OwnedServer awaitPollByOwner(SimulatedFleet fleet, FleetInvariantChecker checker) {
        fleet.faults().setPartitionedFromPeers(fleet.routers().get(0).id(), true);
        long deadline = fleet.nowNanos() + Duration.ofMinutes(1).toNanos();
        while (fleet.nowNanos() < deadline) {
            advance(fleet, checker, SimulatedFleet.STEP);
            for (SimulatedRouter router : fleet.routers().subList(1, 4)) {
                boolean polled = router.control()
                        .watcher()
                        .completeAsOf(fleet.nowNanos() - Duration.ofMillis(100).toNanos());
                if (polled && !router.admittingServers().isEmpty()) {
                    return router.admittingServers().values().iterator().next();
                }
            }
        }
        throw new AssertionError("no other router owns a server");
    }

    /** With an admission permit of 1 min, a router partitioned from the store and all peers keeps granting work. */
    @Test
    void longAdmissionPermitIsDetected() {
        SimulatedFleet fleet = fleet(settings -> new ControlSettings(
                settings.membership(),
                settings.watcher(),
                new AdmissionPermitSettings(Duration.ofMinutes(1), Duration.ofMillis(100)),
                settings.ownership(),
                settings.configuration()));
        FleetInvariantChecker checker = start(fleet);
        fleet.faults().setPartitionedFromStore(fleet.routers().get(1).id(), true);
        fleet.faults().setPartitionedFromPeers(fleet.routers().get(1).id(), true);

        advance(fleet, checker, Duration.ofSeconds(7));

        assertEquals(EnumSet.of(Guarantee.G4), violated);
    }

    /** A router that accepts an older configuration version, for example from a peer, reverts to it. */
    @Test
    void revertedConfigurationIsDetected() {
        SimulatedFleet fleet = fleet(UnaryOperator.identity());
        FleetInvariantChecker checker = start(fleet);
        SimulatedRouter router = fleet.routers().get(1);
        FleetConfiguration first = router.configuration();
        router.control().submitter().changeServer(new ServerName("s0"), AdministrativeState.LEAVING, result -> {});
        advance(fleet, checker, Duration.ofSeconds(5));
        assertEquals(2, router.configuration().version());
        router.blackboard().write(ConfigurationTopic.IN_FORCE, first);

        checker.checkInvariants();

        assertEquals(EnumSet.of(Guarantee.G10), violated);
    }

    /** With correct mechanisms, the same partitions and configuration changes violate no guarantee. */
    @Test
    void correctMechanismsViolateNoGuarantee() {
        SimulatedFleet fleet = fleet(UnaryOperator.identity());
        FleetInvariantChecker checker = start(fleet);
        SimulatedRouter router = fleet.routers().get(1);
        fleet.faults().setPartitionedFromStore(router.id(), true);
        advance(fleet, checker, Duration.ofSeconds(25));
        fleet.faults().setPartitionedFromPeers(router.id(), true);
        fleet.routers()
                .get(0)
                .control()
                .submitter()
                .changeZone(SimulatedFleet.zoneName(1), AdministrativeState.LEAVING, r -> {});

        advance(fleet, checker, Duration.ofSeconds(25));

        assertEquals(EnumSet.noneOf(Guarantee.class), violated);
    }

    private static SimulatedFleet fleet(UnaryOperator<ControlSettings> override) {
        return new SimulatedFleet(17, 4, 8, override);
    }

    private FleetInvariantChecker start(SimulatedFleet fleet) {
        fleet.routers().forEach(SimulatedRouter::start);
        InvariantMonitor monitor = new InvariantMonitor(
                event -> violated.add(Guarantee.valueOf(event.fields().get("guarantee"))));
        FleetInvariantChecker checker = new FleetInvariantChecker(fleet, monitor);
        advance(fleet, checker, Duration.ofSeconds(20));
        assertEquals(Set.of(), violated);
        return checker;
    }

    private static void advance(SimulatedFleet fleet, FleetInvariantChecker checker, Duration duration) {
        long end = fleet.nowNanos() + duration.toNanos();
        while (fleet.nowNanos() < end) {
            fleet.step();
            checker.checkInvariants();
        }
    }

    private static ControlSettings withMembership(
            ControlSettings settings, Duration safetyMargin, Duration renewalAfterPoll) {
        MembershipSettings old = settings.membership();
        RouterId id = old.id();
        ZoneName zone = old.zone();
        RegionName region = old.region();
        MembershipSettings changed = new MembershipSettings(
                id,
                zone,
                region,
                old.callerAddress(),
                old.peerAddress(),
                old.firstIncarnation(),
                old.timeToLive(),
                old.renewalPeriod(),
                safetyMargin,
                renewalAfterPoll,
                old.grantTimeout());
        return new ControlSettings(
                changed,
                settings.watcher(),
                settings.admissionPermit(),
                settings.ownership(),
                settings.configuration());
    }

    private static ControlSettings withMaxReportAge(ControlSettings settings, Duration age) {
        OwnershipSettings old = settings.ownership();
        OwnershipSettings changed = new OwnershipSettings(
                old.checkPeriod(),
                old.lookahead(),
                old.maxClaimJitter(),
                old.claimRankDelay(),
                old.maxConcurrentWrites(),
                old.grantTimeout(),
                old.dwellTime(),
                age,
                old.retryDelay());
        AdmissionPermitSettings permit = new AdmissionPermitSettings(Duration.ofMinutes(5), Duration.ofMillis(100));
        return new ControlSettings(
                settings.membership(), settings.watcher(), permit, changed, settings.configuration());
    }

    private static ControlSettings withSlowPolling(ControlSettings settings) {
        StoreWatcherSettings old = settings.watcher();
        StoreWatcherSettings changed = new StoreWatcherSettings(
                old.prefixes(), Duration.ofSeconds(10), old.maxBackoff(), Duration.ofSeconds(30), old.settlingTime());
        ControlSettings withSlowRenewal = withMembership(settings, Duration.ofSeconds(1), Duration.ofSeconds(30));
        return new ControlSettings(
                withSlowRenewal.membership(),
                changed,
                settings.admissionPermit(),
                settings.ownership(),
                settings.configuration());
    }
}
