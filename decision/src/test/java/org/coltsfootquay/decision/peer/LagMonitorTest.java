package org.coltsfootquay.decision.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a router that stays on an old configuration because its watch of the store is dead. */
final class LagMonitorTest {

    private static final long PATIENCE = LagMonitor.PATIENCE.toNanos();

    private final LagMonitor monitor = new LagMonitor();

    @Test
    void ownWatchIsGivenTime() {
        assertFalse(monitor.heard(9, 7, 0));
    }

    @Test
    void peerThatIsAheadIsAskedAfterThatTime() {
        monitor.heard(9, 7, 0);
        assertTrue(monitor.heard(9, 7, PATIENCE));
    }

    /** Seen with pfostenamt-obb hunt-23a7-3: beacons of peers that were behind too reset the time again and again. */
    @Test
    void peerThatIsBehindTooDoesNotResetTheTime() {
        monitor.heard(9, 7, 0);
        monitor.heard(7, 7, PATIENCE / 2);
        assertTrue(monitor.heard(9, 7, PATIENCE));
    }

    @Test
    void peerThatIsBehindTooIsNotAsked() {
        monitor.heard(9, 7, 0);
        assertFalse(monitor.heard(7, 7, PATIENCE));
    }

    @Test
    void routerThatHasCaughtUpAsksNobody() {
        monitor.heard(9, 7, 0);
        monitor.heard(9, 9, PATIENCE / 2);
        assertFalse(monitor.heard(9, 9, PATIENCE));
    }
}
