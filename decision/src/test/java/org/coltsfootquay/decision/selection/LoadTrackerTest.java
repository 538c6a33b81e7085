package org.coltsfootquay.decision.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.junit.jupiter.api.Test;

/** Guards against totals that drift from the sum of the routers' reports. */
final class LoadTrackerTest {

    private static final ServerName SERVER = new ServerName("s");
    private static final RouterId PEER = new RouterId("peer");

    private final LoadTracker tracker = new LoadTracker();

    @Test
    void newReportReplacesThePreviousOne() {
        tracker.replacePeerReport(PEER, Map.of(SERVER, new ServerLoad(3, 30, 300)));
        tracker.replacePeerReport(PEER, Map.of(SERVER, new ServerLoad(1, 10, 100)));
        assertEquals(new ServerLoad(1, 10, 100), tracker.totalLoad(SERVER));
    }

    @Test
    void serverMissingFromANewReportHasNoLoadFromThatPeer() {
        tracker.replacePeerReport(PEER, Map.of(SERVER, new ServerLoad(3, 30, 300)));
        tracker.replacePeerReport(PEER, Map.of());
        assertEquals(ServerLoad.NONE, tracker.totalLoad(SERVER));
    }

    @Test
    void updateKeepsTheOtherServersOfThePeer() {
        ServerName other = new ServerName("other");
        tracker.replacePeerReport(PEER, Map.of(SERVER, new ServerLoad(3, 30, 300), other, new ServerLoad(2, 20, 200)));
        tracker.updatePeerLoads(PEER, Map.of(SERVER, ServerLoad.NONE));
        assertEquals(ServerLoad.NONE, tracker.totalLoad(SERVER));
        assertEquals(new ServerLoad(2, 20, 200), tracker.totalLoad(other));
    }

    @Test
    void changesAreReturnedOnce() {
        tracker.addLocal(SERVER, new ServerLoad(1, 10, 100));
        assertEquals(Map.of(SERVER, new ServerLoad(1, 10, 100)), tracker.takeChanged());
        assertEquals(Map.of(), tracker.takeChanged());
    }

    @Test
    void serverWithoutWorkIsAmongTheChanges() {
        tracker.addLocal(SERVER, new ServerLoad(1, 10, 100));
        tracker.takeChanged();
        tracker.addLocal(SERVER, new ServerLoad(-1, -10, -100));
        assertEquals(Map.of(SERVER, ServerLoad.NONE), tracker.takeChanged());
    }

    @Test
    void totalsAreTheSumOfTheLatestReports() {
        Random random = new Random(7);
        Map<RouterId, Map<ServerName, ServerLoad>> reports = new HashMap<>();
        Map<ServerName, ServerLoad> local = new HashMap<>();
        for (int step = 0; step < 2_000; step++) {
            RouterId peer = new RouterId("peer-" + random.nextInt(5));
            ServerName server = new ServerName("server-" + random.nextInt(4));
            ServerLoad load = new ServerLoad(random.nextInt(9), random.nextInt(900), random.nextInt(9_000));
            switch (random.nextInt(3)) {
                case 0 -> {
                    tracker.addLocal(server, load);
                    local.merge(server, load, ServerLoad::plus);
                }
                case 1 -> {
                    tracker.replacePeerReport(peer, Map.of(server, load));
                    reports.put(peer, Map.of(server, load));
                }
                default -> {
                    tracker.removePeer(peer);
                    reports.remove(peer);
                }
            }
            ServerLoad expected = local.getOrDefault(server, ServerLoad.NONE);
            for (Map<ServerName, ServerLoad> report : reports.values()) {
                expected = expected.plus(report.getOrDefault(server, ServerLoad.NONE));
            }
            assertEquals(expected, tracker.totalLoad(server));
        }
    }
}
