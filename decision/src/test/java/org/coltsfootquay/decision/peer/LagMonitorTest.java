package org.coltsfootquay.decision.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a router that keeps an old configuration because the connection of its store watch is dead. */
final class LagMonitorTest {

    private static final long GRACE_PERIOD_NANOS = LagMonitor.GRACE_PERIOD.toNanos();

    private final LagMonitor monitor = new LagMonitor();

    @Test
    void peerIsNotAskedWithinTheGracePeriod() {
        assertFalse(monitor.recordPeerRevision(9, 7, Duration.ZERO, 0));
    }

    @Test
    void peerThatIsAheadIsAskedAfterTheGracePeriod() {
        monitor.recordPeerRevision(9, 7, Duration.ZERO, 0);
        assertTrue(monitor.recordPeerRevision(9, 7, Duration.ZERO, GRACE_PERIOD_NANOS));
    }

    /** In a random fault run, beacons of other lagging peers restarted the grace period again and again. */
    @Test
    void laggingPeerDoesNotRestartTheGracePeriod() {
        monitor.recordPeerRevision(9, 7, Duration.ZERO, 0);
        monitor.recordPeerRevision(7, 7, Duration.ZERO, GRACE_PERIOD_NANOS / 2);
        assertTrue(monitor.recordPeerRevision(9, 7, Duration.ZERO, GRACE_PERIOD_NANOS));
    }

    @Test
    void pauseOfTheOwnWatchExtendsTheGracePeriod() {
        Duration pause = Duration.ofMillis(600);
        monitor.recordPeerRevision(9, 7, pause, 0);
        assertFalse(monitor.recordPeerRevision(9, 7, pause, GRACE_PERIOD_NANOS));
        assertTrue(monitor.recordPeerRevision(9, 7, pause, GRACE_PERIOD_NANOS + pause.toNanos()));
    }

    @Test
    void laggingPeerIsNotAsked() {
        monitor.recordPeerRevision(9, 7, Duration.ZERO, 0);
        assertFalse(monitor.recordPeerRevision(7, 7, Duration.ZERO, GRACE_PERIOD_NANOS));
    }

    @Test
    void routerThatHasCaughtUpAsksNoPeer() {
        monitor.recordPeerRevision(9, 7, Duration.ZERO, 0);
        monitor.recordPeerRevision(9, 9, Duration.ZERO, GRACE_PERIOD_NANOS / 2);
        assertFalse(monitor.recordPeerRevision(9, 9, Duration.ZERO, GRACE_PERIOD_NANOS));
    }
}
