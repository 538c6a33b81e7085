package org.coltsfootquay.decision.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.junit.jupiter.api.Test;

/** Guards against callers who are sent to dead routers, and against shared limits that forget unreachable routers. */
final class PeerTableTest {

    private static final ZoneName HERE = new ZoneName("here");
    private static final ZoneName THERE = new ZoneName("there");
    private static final long SILENCE = Duration.ofMillis(900).toNanos();

    private final PeerTable table = new PeerTable(router("r1", HERE));

    @Test
    void peerThatWasHeardIsNamed() {
        table.recordBeacon(router("r2", THERE), true, 0);
        assertEquals(List.of("r1:80", "r2:80"), table.addressesFor(null, true, 0, 64));
    }

    @Test
    void silentPeerIsNotNamed() {
        table.recordBeacon(router("r2", HERE), true, 0);
        assertEquals(List.of("r1:80"), table.addressesFor(null, true, SILENCE + 1, 64));
    }

    @Test
    void registeredRouterThatWasNeverHeardIsNotNamed() {
        table.replaceRegistrations(List.of(router("r2", HERE)));
        assertEquals(List.of("r1:80"), table.addressesFor(null, true, 0, 64));
    }

    @Test
    void stoppingPeerIsNotNamed() {
        table.recordBeacon(router("r2", HERE), false, 0);
        assertEquals(List.of("r1:80"), table.addressesFor(null, true, 0, 64));
    }

    @Test
    void stoppingRouterDoesNotNameItself() {
        assertTrue(table.addressesFor(null, false, 0, 64).isEmpty());
    }

    @Test
    void routersOfTheCallersZoneComeAlone() {
        table.recordBeacon(router("r2", HERE), true, 0);
        table.recordBeacon(router("r3", THERE), true, 0);
        assertEquals(List.of("r1:80", "r2:80"), table.addressesFor(HERE, true, 0, 64));
    }

    @Test
    void singleRouterOfTheCallersZoneDoesNotComeAlone() {
        table.recordBeacon(router("r3", THERE), true, 0);
        assertEquals(List.of("r1:80", "r3:80"), table.addressesFor(HERE, true, 0, 64));
    }

    @Test
    void silentRegisteredRouterStillCountsForSharedLimits() {
        table.replaceRegistrations(List.of(router("r2", HERE)));
        table.recordBeacon(router("r2", HERE), true, 0);
        table.removeSilent(Duration.ofSeconds(60).toNanos());
        assertEquals(List.of(new RouterId("r1"), new RouterId("r2")), table.members());
    }

    @Test
    void silentPeerIsReportedOnce() {
        table.recordBeacon(router("r2", HERE), true, 0);
        assertEquals(List.of(new RouterId("r2")), table.removeSilent(SILENCE + 1));
        assertTrue(table.removeSilent(SILENCE + 2).isEmpty());
    }

    @Test
    void beaconsOfALargeFleetAreRarer() {
        assertEquals(Duration.ofMillis(200), table.beaconPeriod());
        table.replaceRegistrations(routers(79));
        assertEquals(Duration.ofSeconds(1), table.beaconPeriod());
    }

    @Test
    void smallFleetNeedsNoUpdates() {
        assertEquals(Duration.ZERO, table.updatePeriod());
    }

    /** Updates to every router would otherwise grow with the square of the fleet. */
    @Test
    void updatesOfAVeryLargeFleetAreRarer() {
        table.replaceRegistrations(routers(60));
        assertEquals(Duration.ofMillis(200), table.updatePeriod());
        table.replaceRegistrations(routers(399));
        assertEquals(Duration.ofSeconds(1), table.updatePeriod());
    }

    @Test
    void registrationOfARouterThatNobodyHearsIsRemovedAfterLong() {
        table.replaceRegistrations(List.of(router("r2", HERE)));
        assertTrue(table.expiredRegistrations(0).isEmpty());
        assertEquals(
                List.of(new RouterId("r2")),
                table.expiredRegistrations(Duration.ofMinutes(10).toNanos()));
    }

    @Test
    void onlyTheFirstRouterRemovesRegistrations() {
        table.replaceRegistrations(List.of(router("r2", HERE)));
        table.expiredRegistrations(0);
        table.recordBeacon(router("r0", HERE), true, 0);
        assertTrue(table.expiredRegistrations(Duration.ofMinutes(10).toNanos()).isEmpty());
    }

    private static List<PeerRouter> routers(int count) {
        List<PeerRouter> fleet = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            fleet.add(router("p" + i, THERE));
        }
        return fleet;
    }

    private static PeerRouter router(String id, ZoneName zone) {
        return new PeerRouter(new RouterId(id), zone, "10.0.0.1", 7400, id + ":80");
    }
}
