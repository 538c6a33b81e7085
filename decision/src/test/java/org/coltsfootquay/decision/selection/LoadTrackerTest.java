package org.coltsfootquay.decision.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.junit.jupiter.api.Test;

/** Guards against sums over routers that drift from what the routers report. */
final class LoadTrackerTest {

    private static final ServerName SERVER = new ServerName("s");
    private static final RouterId PEER = new RouterId("peer");

    private final LoadTracker board = new LoadTracker();

    @Test
    void newReportReplacesTheOneBefore() {
        board.replacePeerReport(PEER, Map.of(SERVER, new ServerLoad(3, 30, 300)));
        board.replacePeerReport(PEER, Map.of(SERVER, new ServerLoad(1, 10, 100)));
        assertEquals(new ServerLoad(1, 10, 100), board.totalLoad(SERVER));
    }

    @Test
    void serverThatIsMissingInANewReportHasNoLoadFromThatPeer() {
        board.replacePeerReport(PEER, Map.of(SERVER, new ServerLoad(3, 30, 300)));
        board.replacePeerReport(PEER, Map.of());
        assertEquals(ServerLoad.NONE, board.totalLoad(SERVER));
    }

    @Test
    void updateLeavesTheOtherServersOfThePeer() {
        ServerName other = new ServerName("other");
        board.replacePeerReport(PEER, Map.of(SERVER, new ServerLoad(3, 30, 300), other, new ServerLoad(2, 20, 200)));
        board.updatePeerLoads(PEER, Map.of(SERVER, ServerLoad.NONE));
        assertEquals(ServerLoad.NONE, board.totalLoad(SERVER));
        assertEquals(new ServerLoad(2, 20, 200), board.totalLoad(other));
    }

    @Test
    void changesAreTakenOnce() {
        board.addLocal(SERVER, new ServerLoad(1, 10, 100));
        assertEquals(Map.of(SERVER, new ServerLoad(1, 10, 100)), board.takeChanged());
        assertEquals(Map.of(), board.takeChanged());
    }

    @Test
    void serverWithoutWorkIsAmongTheChanges() {
        board.addLocal(SERVER, new ServerLoad(1, 10, 100));
        board.takeChanged();
        board.addLocal(SERVER, new ServerLoad(-1, -10, -100));
        assertEquals(Map.of(SERVER, ServerLoad.NONE), board.takeChanged());
    }

    @Test
    void totalsAreTheSumOfWhatEachRouterLastReported() {
        Random random = new Random(7);
        Map<RouterId, Map<ServerName, ServerLoad>> reports = new HashMap<>();
        Map<ServerName, ServerLoad> own = new HashMap<>();
        for (int step = 0; step < 2_000; step++) {
            RouterId peer = new RouterId("peer-" + random.nextInt(5));
            ServerName server = new ServerName("server-" + random.nextInt(4));
            ServerLoad load = new ServerLoad(random.nextInt(9), random.nextInt(900), random.nextInt(9_000));
            switch (random.nextInt(3)) {
                case 0 -> {
                    board.addLocal(server, load);
                    own.merge(server, load, ServerLoad::plus);
                }
                case 1 -> {
                    board.replacePeerReport(peer, Map.of(server, load));
                    reports.put(peer, Map.of(server, load));
                }
                default -> {
                    board.removePeer(peer);
                    reports.remove(peer);
                }
            }
            ServerLoad expected = own.getOrDefault(server, ServerLoad.NONE);
            for (Map<ServerName, ServerLoad> report : reports.values()) {
                expected = expected.plus(report.getOrDefault(server, ServerLoad.NONE));
            }
            assertEquals(expected, board.totalLoad(server));
        }
    }
}
