package org.coltsfootquay.decision.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a router that stays on an old configuration because its watch of the store is dead. */
final class LagMonitorTest {

    private static final long PATIENCE = LagMonitor.GRACE_PERIOD.toNanos();

    private final LagMonitor monitor = new LagMonitor();

    @Test
    void ownWatchIsGivenTime() {
        assertFalse(monitor.recordPeerRevision(9, 7, Duration.ZERO, 0));
    }

    @Test
    void peerThatIsAheadIsAskedAfterThatTime() {
        monitor.recordPeerRevision(9, 7, Duration.ZERO, 0);
        assertTrue(monitor.recordPeerRevision(9, 7, Duration.ZERO, PATIENCE));
    }

    /** Seen with pfostenamt-obb hunt-23a7-3: beacons of peers that were behind too reset the time again and again. */
    @Test
    void peerThatIsBehindTooDoesNotResetTheTime() {
        monitor.recordPeerRevision(9, 7, Duration.ZERO, 0);
        monitor.recordPeerRevision(7, 7, Duration.ZERO, PATIENCE / 2);
        assertTrue(monitor.recordPeerRevision(9, 7, Duration.ZERO, PATIENCE));
    }

    @Test
    void pauseOfTheOwnWatchCountsBesideThatTime() {
        Duration pause = Duration.ofMillis(600);
        monitor.recordPeerRevision(9, 7, pause, 0);
        assertFalse(monitor.recordPeerRevision(9, 7, pause, PATIENCE));
        assertTrue(monitor.recordPeerRevision(9, 7, pause, PATIENCE + pause.toNanos()));
    }

    @Test
    void peerThatIsBehindTooIsNotAsked() {
        monitor.recordPeerRevision(9, 7, Duration.ZERO, 0);
        assertFalse(monitor.recordPeerRevision(7, 7, Duration.ZERO, PATIENCE));
    }

    @Test
    void routerThatHasCaughtUpAsksNobody() {
        monitor.recordPeerRevision(9, 7, Duration.ZERO, 0);
        monitor.recordPeerRevision(9, 9, Duration.ZERO, PATIENCE / 2);
        assertFalse(monitor.recordPeerRevision(9, 9, Duration.ZERO, PATIENCE));
    }
}
