package org.coltsfootquay.decision.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.coltsfootquay.decision.common.ServerName;
import org.junit.jupiter.api.Test;

/** Guards against requests to unreachable servers, and against overload of a server that has just restarted. */
final class ServerHealthTest {

    private static final ServerName SERVER = new ServerName("s1");
    private static final Duration COLD = Duration.ofSeconds(3);
    private static final long MILLI = 1_000_000;

    private final ServerHealth health = new ServerHealth();

    @Test
    void unreachableServerIsAvoidedForAShortTime() {
        health.recordUnreachable(SERVER, 0);
        assertTrue(health.isAvoided(SERVER, 399 * MILLI));
        assertFalse(health.isAvoided(SERVER, 400 * MILLI));
    }

    @Test
    void avoidanceGrowsWithConsecutiveFailures() {
        health.recordUnreachable(SERVER, 0);
        health.recordUnreachable(SERVER, 400 * MILLI);
        assertTrue(health.isAvoided(SERVER, 1100 * MILLI));
    }

    @Test
    void successfulResponseEndsTheAvoidance() {
        health.recordUnreachable(SERVER, 0);
        health.recordResponse(SERVER, true, MILLI);
        assertFalse(health.isAvoided(SERVER, 2 * MILLI));
    }

    @Test
    void unreachableServerMayBeColdUntilColdTimeAfterItsFirstResponse() {
        health.recordUnreachable(SERVER, 0);
        health.recordResponse(SERVER, true, 1000 * MILLI);
        assertTrue(health.mayBeCold(SERVER, COLD, 3999 * MILLI));
        assertFalse(health.mayBeCold(SERVER, COLD, 4000 * MILLI));
    }

    @Test
    void singleBrokenConnectionIsNotACrash() {
        health.recordBrokenConnection(SERVER, 0);
        assertFalse(health.mayBeCold(SERVER, COLD, MILLI));
    }

    @Test
    void twoConnectionsBrokenTogetherIndicateACrash() {
        health.recordBrokenConnection(SERVER, 0);
        health.recordBrokenConnection(SERVER, 10 * MILLI);
        assertTrue(health.mayBeCold(SERVER, COLD, 20 * MILLI));
    }

    @Test
    void failureRateFollowsTheOutcomes() {
        for (int i = 0; i < 40; i++) {
            health.recordResponse(SERVER, i % 2 == 0, 0);
        }
        assertEquals(0.5, health.failureRate(SERVER), 0.1);
    }
}
