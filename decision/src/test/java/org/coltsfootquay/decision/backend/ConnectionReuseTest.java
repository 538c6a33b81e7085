package org.coltsfootquay.decision.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;
import org.junit.jupiter.api.Test;

/** Guards against the reuse of connections to servers that send a second response. */
final class ConnectionReuseTest {

    private static final long MIN_PAUSE = ConnectionReuse.MIN_PAUSE.toNanos();
    private static final long MAX_PAUSE = ConnectionReuse.MAX_PAUSE.toNanos();

    private final ConnectionReuse reuse = new ConnectionReuse();
    private final BackendEntry server = entry("s1", 1);

    @Test
    void serverWithoutUnsolicitedBytesKeepsItsConnections() {
        reuse.recordUnsolicited(server, 0);
        assertTrue(reuse.isPermitted(entry("s2", 1), 0));
    }

    @Test
    void unsolicitedBytesEndReuseForATime() {
        assertTrue(reuse.recordUnsolicited(server, 0));
        assertFalse(reuse.isPermitted(server, 0));
        assertFalse(reuse.isPermitted(server, MIN_PAUSE - 1));
        assertTrue(reuse.isPermitted(server, MIN_PAUSE));
    }

    @Test
    void evidenceWithinThePauseExtendsIt() {
        reuse.recordUnsolicited(server, 0);
        assertFalse(reuse.recordUnsolicited(server, MIN_PAUSE - 1));
        assertFalse(reuse.isPermitted(server, 2 * MIN_PAUSE - 2));
        assertTrue(reuse.isPermitted(server, 2 * MIN_PAUSE - 1));
    }

    @Test
    void evidenceAfterThePauseDoublesIt() {
        reuse.recordUnsolicited(server, 0);
        assertTrue(reuse.recordUnsolicited(server, MIN_PAUSE));
        assertFalse(reuse.isPermitted(server, 3 * MIN_PAUSE - 1));
        assertTrue(reuse.isPermitted(server, 3 * MIN_PAUSE));
    }

    @Test
    void restartedServerKeepsItsConnections() {
        reuse.recordUnsolicited(server, 0);
        assertTrue(reuse.isPermitted(entry("s1", 2), 0));
    }

    @Test
    void serverIsForgottenAfterALongTimeWithoutEvidence() {
        reuse.recordUnsolicited(server, 0);
        reuse.removeExpired(MIN_PAUSE + MAX_PAUSE - 1);
        assertEquals(1, reuse.size());
        reuse.removeExpired(MIN_PAUSE + MAX_PAUSE);
        assertEquals(0, reuse.size());
    }

    @Test
    void numberOfServersIsBounded() {
        for (int i = 0; i < 20_000; i++) {
            reuse.recordUnsolicited(entry("s" + i, 1), i);
        }
        assertEquals(8192, reuse.size());
    }

    /** The monotonic clock may overflow. */
    @Property
    void reuseIsPermittedAgainAfterTheLongestPause(
            @ForAll long start, @ForAll @LongRange(min = 0, max = 600_000) long stepMillis) {
        long now = start;
        for (int i = 0; i < 20; i++) {
            reuse.recordUnsolicited(server, now);
            assertFalse(reuse.isPermitted(server, now));
            assertTrue(reuse.isPermitted(server, now + MAX_PAUSE));
            now += Duration.ofMillis(stepMillis).toNanos();
        }
    }

    private static BackendEntry entry(String name, long startedMillis) {
        return new BackendEntry(
                new ServerName(name),
                new ServiceName("service"),
                "127.0.0.1",
                1,
                new ZoneName("zone"),
                8,
                false,
                Duration.ZERO,
                startedMillis);
    }
}
