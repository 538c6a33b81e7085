package org.coltsfootquay.decision.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a router that stays on an old configuration because its watch of the store is dead. */
final class LagMonitorTest {

    private static final long PATIENCE = LagMonitor.PATIENCE.toNanos();

    private final LagMonitor monitor = new LagMonitor();

    @Test
    void ownWatchIsGivenTime() {
        assertFalse(monitor.heard(9, 7, Duration.ZERO, 0));
    }

    @Test
    void peerThatIsAheadIsAskedAfterThatTime() {
        monitor.heard(9, 7, Duration.ZERO, 0);
        assertTrue(monitor.heard(9, 7, Duration.ZERO, PATIENCE));
    }

    /** Seen with pfostenamt-obb hunt-23a7-3: beacons of peers that were behind too reset the time again and again. */
    @Test
    void peerThatIsBehindTooDoesNotResetTheTime() {
        monitor.heard(9, 7, Duration.ZERO, 0);
        monitor.heard(7, 7, Duration.ZERO, PATIENCE / 2);
        assertTrue(monitor.heard(9, 7, Duration.ZERO, PATIENCE));
    }

    @Test
    void pauseOfTheOwnWatchCountsBesideThatTime() {
        Duration pause = Duration.ofMillis(600);
        monitor.heard(9, 7, pause, 0);
        assertFalse(monitor.heard(9, 7, pause, PATIENCE));
        assertTrue(monitor.heard(9, 7, pause, PATIENCE + pause.toNanos()));
    }

    @Test
    void peerThatIsBehindTooIsNotAsked() {
        monitor.heard(9, 7, Duration.ZERO, 0);
        assertFalse(monitor.heard(7, 7, Duration.ZERO, PATIENCE));
    }

    @Test
    void routerThatHasCaughtUpAsksNobody() {
        monitor.heard(9, 7, Duration.ZERO, 0);
        monitor.heard(9, 9, Duration.ZERO, PATIENCE / 2);
        assertFalse(monitor.heard(9, 9, Duration.ZERO, PATIENCE));
    }
}
