package org.coltsfootquay.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.junit.jupiter.api.Test;

/** Guards against sums of demand that keep reports which were replaced or dropped. */
final class DemandTrackerTest {

    private static final ServiceName SERVICE = new ServiceName("service");
    private static final WorkspaceId WORKSPACE = new WorkspaceId("workspace");
    private static final RouterId PEER = new RouterId("peer");

    private final DemandTracker board = new DemandTracker(0);

    @Test
    void totalAddsOwnDemandAndReports() {
        board.recordRequested(SERVICE, WORKSPACE, 10, 0);
        report(5);
        assertEquals(new Demand(15, 5), board.totalDemands(SERVICE, 0).get(WORKSPACE));
    }

    @Test
    void newReportReplacesTheOneBefore() {
        report(5);
        board.totalDemands(SERVICE, 0);
        report(2);
        assertEquals(new Demand(2, 2), board.totalDemands(SERVICE, 0).get(WORKSPACE));
    }

    @Test
    void forgottenPeerNoLongerCounts() {
        report(5);
        board.totalDemands(SERVICE, 0);
        board.removePeer(PEER);
        assertEquals(Map.of(), board.totalDemands(SERVICE, 0));
    }

    private void report(double tokens) {
        board.replacePeerReport(PEER, Map.of(SERVICE, Map.of(WORKSPACE, new Demand(tokens, tokens))));
    }
}
