package org.coltsfootquay.decision.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.coltsfootquay.decision.common.ServerName;
import org.junit.jupiter.api.Test;

/** Guards against requests for dark servers, and against a flood for a server that has just started again. */
final class ServerHealthTest {

    private static final ServerName SERVER = new ServerName("s1");
    private static final Duration COLD = Duration.ofSeconds(3);
    private static final long MILLI = 1_000_000;

    private final ServerHealth health = new ServerHealth();

    @Test
    void unreachableServerIsAvoidedForAShortTime() {
        health.unreachable(SERVER, 0);
        assertTrue(health.avoided(SERVER, 399 * MILLI));
        assertFalse(health.avoided(SERVER, 400 * MILLI));
    }

    @Test
    void pauseGrowsWithFailuresInARow() {
        health.unreachable(SERVER, 0);
        health.unreachable(SERVER, 400 * MILLI);
        assertTrue(health.avoided(SERVER, 1100 * MILLI));
    }

    @Test
    void answerEndsThePause() {
        health.unreachable(SERVER, 0);
        health.answered(SERVER, true, MILLI);
        assertFalse(health.avoided(SERVER, 2 * MILLI));
    }

    @Test
    void serverThatWasUnreachableMayBeColdUntilItHasAnsweredForAWhile() {
        health.unreachable(SERVER, 0);
        health.answered(SERVER, true, 1000 * MILLI);
        assertTrue(health.maybeCold(SERVER, COLD, 3999 * MILLI));
        assertFalse(health.maybeCold(SERVER, COLD, 4000 * MILLI));
    }

    @Test
    void singleBrokenConnectionIsNoCrash() {
        health.broken(SERVER, 0);
        assertFalse(health.maybeCold(SERVER, COLD, MILLI));
    }

    @Test
    void twoConnectionsBrokenTogetherAreACrash() {
        health.broken(SERVER, 0);
        health.broken(SERVER, 10 * MILLI);
        assertTrue(health.maybeCold(SERVER, COLD, 20 * MILLI));
    }

    @Test
    void failureRateFollowsTheOutcomes() {
        for (int i = 0; i < 40; i++) {
            health.answered(SERVER, i % 2 == 0, 0);
        }
        assertEquals(0.5, health.failureRate(SERVER), 0.1);
    }
}
