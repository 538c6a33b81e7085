package org.coltsfootquay.decision.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.junit.jupiter.api.Test;

/** Guards against callers directed to dead routers, and against shared limits that ignore unreachable routers. */
final class PeerTableTest {

    private static final ZoneName LOCAL_ZONE = new ZoneName("local");
    private static final ZoneName OTHER_ZONE = new ZoneName("other");
    private static final long SILENCE_TIMEOUT_NANOS = Duration.ofMillis(900).toNanos();

    private final PeerTable table = new PeerTable(router("r1", LOCAL_ZONE));

    @Test
    void peerWithARecentBeaconIsListed() {
        table.recordBeacon(router("r2", OTHER_ZONE), true, 0);
        assertEquals(List.of("r1:80", "r2:80"), table.addressesFor(null, true, 0, 64));
    }

    @Test
    void silentPeerIsNotListed() {
        table.recordBeacon(router("r2", LOCAL_ZONE), true, 0);
        assertEquals(List.of("r1:80"), table.addressesFor(null, true, SILENCE_TIMEOUT_NANOS + 1, 64));
    }

    @Test
    void registeredRouterWithoutABeaconIsNotListed() {
        table.replaceRegistrations(List.of(router("r2", LOCAL_ZONE)));
        assertEquals(List.of("r1:80"), table.addressesFor(null, true, 0, 64));
    }

    @Test
    void positionsOfRoutersThatHearEachOtherDiffer() {
        List<PeerRouter> routers = IntStream.range(0, 20)
                .mapToObj(i -> router("r" + i, LOCAL_ZONE))
                .toList();
        List<Integer> positions = new ArrayList<>();
        for (PeerRouter router : routers) {
            PeerTable view = new PeerTable(router);
            routers.forEach(peer -> view.recordBeacon(peer, true, 0));
            positions.add(view.positionAmongHeard(7));
        }
        assertEquals(
                IntStream.range(0, 20).boxed().toList(),
                positions.stream().sorted().toList());
    }

    @Test
    void positionDependsOnTheSalt() {
        for (int i = 2; i < 20; i++) {
            table.recordBeacon(router("r" + i, LOCAL_ZONE), true, 0);
        }
        assertTrue(LongStream.range(0, 10)
                        .mapToInt(table::positionAmongHeard)
                        .distinct()
                        .count()
                > 3);
    }

    @Test
    void stoppingPeerIsNotListed() {
        table.recordBeacon(router("r2", LOCAL_ZONE), false, 0);
        assertEquals(List.of("r1:80"), table.addressesFor(null, true, 0, 64));
    }

    @Test
    void stoppingRouterDoesNotListItself() {
        assertTrue(table.addressesFor(null, false, 0, 64).isEmpty());
    }

    @Test
    void twoRoutersOfTheCallersZoneAreListedAlone() {
        table.recordBeacon(router("r2", LOCAL_ZONE), true, 0);
        table.recordBeacon(router("r3", OTHER_ZONE), true, 0);
        assertEquals(List.of("r1:80", "r2:80"), table.addressesFor(LOCAL_ZONE, true, 0, 64));
    }

    @Test
    void singleRouterOfTheCallersZoneIsListedWithTheOthers() {
        table.recordBeacon(router("r3", OTHER_ZONE), true, 0);
        assertEquals(List.of("r1:80", "r3:80"), table.addressesFor(LOCAL_ZONE, true, 0, 64));
    }

    @Test
    void silentRegisteredRouterStaysAMember() {
        table.replaceRegistrations(List.of(router("r2", LOCAL_ZONE)));
        table.recordBeacon(router("r2", LOCAL_ZONE), true, 0);
        table.removeSilent(Duration.ofSeconds(60).toNanos());
        assertEquals(List.of(new RouterId("r1"), new RouterId("r2")), table.members());
    }

    @Test
    void silentPeerIsReportedOnce() {
        table.recordBeacon(router("r2", LOCAL_ZONE), true, 0);
        assertEquals(List.of(new RouterId("r2")), table.removeSilent(SILENCE_TIMEOUT_NANOS + 1));
        assertTrue(table.removeSilent(SILENCE_TIMEOUT_NANOS + 2).isEmpty());
    }

    @Test
    void beaconPeriodGrowsWithTheFleet() {
        assertEquals(Duration.ofMillis(200), table.beaconPeriod());
        table.replaceRegistrations(routers(79));
        assertEquals(Duration.ofSeconds(1), table.beaconPeriod());
    }

    @Test
    void smallFleetNeedsNoUpdates() {
        assertEquals(Duration.ZERO, table.updatePeriod());
    }

    /** With a fixed period, the number of updates would grow with the square of the number of routers. */
    @Test
    void updatePeriodGrowsWithAVeryLargeFleet() {
        table.replaceRegistrations(routers(60));
        assertEquals(Duration.ofMillis(200), table.updatePeriod());
        table.replaceRegistrations(routers(399));
        assertEquals(Duration.ofSeconds(1), table.updatePeriod());
    }

    @Test
    void registrationWithoutBeaconsExpires() {
        table.replaceRegistrations(List.of(router("r2", LOCAL_ZONE)));
        assertTrue(table.expiredRegistrations(0).isEmpty());
        assertEquals(
                List.of(new RouterId("r2")),
                table.expiredRegistrations(Duration.ofMinutes(10).toNanos()));
    }

    @Test
    void onlyTheFirstRouterRemovesRegistrations() {
        table.replaceRegistrations(List.of(router("r2", LOCAL_ZONE)));
        table.expiredRegistrations(0);
        table.recordBeacon(router("r0", LOCAL_ZONE), true, 0);
        assertTrue(table.expiredRegistrations(Duration.ofMinutes(10).toNanos()).isEmpty());
    }

    private static List<PeerRouter> routers(int count) {
        List<PeerRouter> fleet = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            fleet.add(router("p" + i, OTHER_ZONE));
        }
        return fleet;
    }

    private static PeerRouter router(String id, ZoneName zone) {
        return new PeerRouter(new RouterId(id), zone, "10.0.0.1", 7400, id + ":80");
    }
}
