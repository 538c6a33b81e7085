package org.coltsfootquay.decision.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.OptionalInt;
import org.coltsfootquay.decision.common.ClassName;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.junit.jupiter.api.Test;

/** Guards against limits that overload a server, collapse on one congestion, or let a cold server be flooded. */
final class ServerLimitTest {

    private static final ClassName CLASS = new ClassName("summary");

    private long now = Duration.ofHours(1).toNanos();
    private final ServerLimit limit = new ServerLimit(LimitSettings.standard(), ServiceKind.MODEL, now);

    @Test
    void growsByOneEachSecondWhenFullyUsedWithinTarget() {
        limit.restore(10, false);
        seconds(5, 40, true);
        assertTrue(limit.limit() >= 13 && limit.limit() <= 15, "limit " + limit.limit());
    }

    @Test
    void doesNotGrowWhenNotFullyUsed() {
        limit.restore(10, false);
        seconds(5, 40, false);
        assertEquals(10, limit.limit());
    }

    @Test
    void doesNotGrowWithoutLatencySamples() {
        limit.restore(10, false);
        for (int i = 0; i < 5; i++) {
            limit.occupied(10, true);
            now += Duration.ofSeconds(1).toNanos();
            limit.tick(now);
        }
        assertEquals(10, limit.limit());
    }

    @Test
    void cutsToSevenTenthsWhenTokenIntervalExceedsTarget() {
        limit.restore(100, false);
        seconds(1, 40, true);
        seconds(2, 80, true);
        assertTrue(limit.limit() >= 69 && limit.limit() <= 72, "limit " + limit.limit());
    }

    @Test
    void doesNotCutAgainBeforeTheRequestsInFlightHaveComeDown() {
        limit.restore(100, false);
        for (int i = 0; i < 20; i++) {
            limit.occupied(100, false);
            limit.tokenInterval(80, 57, now);
            now += Duration.ofSeconds(1).toNanos();
            limit.tick(now);
        }
        assertEquals(70, limit.limit());
    }

    @Test
    void countsManySlowStreamsOfOneSecondAsOneSign() {
        limit.restore(100, false);
        for (int i = 0; i < 50; i++) {
            limit.tokenInterval(80, 57, now);
        }
        now += Duration.ofSeconds(1).toNanos();
        limit.tick(now);
        assertEquals(70, limit.limit());
    }

    @Test
    void rampAddsOneSlotForEachCompletedRequestUpToFormerLimit() {
        limit.restore(4, false);
        limit.foundCold(OptionalInt.empty(), now);
        assertEquals(1, limit.limit());
        completeInUse();
        assertEquals(2, limit.limit());
        nextWindow();
        completeInUse();
        assertEquals(3, limit.limit());
        assertTrue(limit.ramping());
        completeInUse();
        completeInUse();
        assertEquals(4, limit.limit());
        assertFalse(limit.ramping());
    }

    @Test
    void rampAtMostDoublesInOneWindowOfLatency() {
        limit.restore(1_000, false);
        limit.foundCold(OptionalInt.empty(), now);
        for (int expected : new int[] {2, 4, 8, 16}) {
            for (int i = 0; i < 100; i++) {
                completeInUse();
            }
            assertEquals(expected, limit.limit());
            nextWindow();
        }
    }

    @Test
    void rampDoesNotGrowFarBeyondTheRequestsInFlight() {
        limit.restore(1_000, false);
        limit.foundCold(OptionalInt.empty(), now);
        for (int window = 0; window < 20; window++) {
            limit.occupied(3, false);
            for (int i = 0; i < 100; i++) {
                limit.completed(CLASS, 300, now);
            }
            nextWindow();
        }
        assertEquals(6, limit.limit());
    }

    private void completeInUse() {
        limit.occupied(limit.limit(), true);
        limit.completed(CLASS, 300, now);
    }

    private void nextWindow() {
        now += Duration.ofSeconds(1).toNanos();
        limit.tick(now);
    }

    @Test
    void rampBeginsWithWhatTheServerCanHandle() {
        limit.restore(40, false);
        limit.loadReported(0, 0, true, OptionalInt.of(5), 2_000, now, now);
        assertEquals(5, limit.limit());
    }

    @Test
    void decreasedUptimeMeansRestart() {
        limit.restore(40, false);
        limit.loadReported(10, 0, false, OptionalInt.empty(), 500_000, now, now);
        assertEquals(40, limit.limit());
        limit.loadReported(0, 0, false, OptionalInt.empty(), 100_000, now, now);
        assertEquals(1, limit.limit());
    }

    @Test
    void latencyFarAboveItsUsualValueMeansCold() {
        limit.restore(40, false);
        seconds(8, 20, false);
        seconds(2, 90, false);
        assertTrue(limit.ramping());
    }

    @Test
    void serverWithoutHistoryLeavesRampAtFirstSlowTokens() {
        for (int i = 0; i < 9; i++) {
            completeInUse();
            nextWindow();
        }
        assertEquals(10, limit.limit());
        seconds(2, 80, false);
        assertFalse(limit.ramping());
        assertEquals(7, limit.limit());
    }

    @Test
    void smallExcessCutsOnlyAsFarAsNeeded() {
        limit.restore(100, false);
        seconds(2, 60, false);
        assertEquals(92, limit.limit());
    }

    @Test
    void twoBrokenConnectionsAreTakenForRestartUntilLoadReportSaysOtherwise() {
        limit.restore(40, false);
        limit.loadReported(40, 0, false, OptionalInt.empty(), 500_000, now, now);
        limit.occupied(40, true);
        limit.broken(now);
        limit.broken(now);
        assertEquals(1, limit.limit());
        limit.loadReported(40, 0, false, OptionalInt.empty(), 500_100, now - 1, now);
        assertTrue(limit.ramping(), "a report from before the break says nothing");
        now += Duration.ofSeconds(1).toNanos();
        limit.loadReported(38, 0, false, OptionalInt.empty(), 501_000, now, now);
        assertFalse(limit.ramping());
        assertTrue(limit.limit() >= 27, "limit " + limit.limit());
    }

    @Test
    void rampStaysWithinWhatColdServerCanHandle() {
        limit.restore(40, false);
        limit.loadReported(0, 0, true, OptionalInt.of(3), 2_000, now, now);
        limit.completed(CLASS, 1_000, now);
        assertEquals(3, limit.limit());
    }

    @Test
    void applicationServerIsJudgedByItsSmallestResponseTime() {
        ServerLimit application = new ServerLimit(LimitSettings.standard(), ServiceKind.APPLICATION, now);
        application.restore(10, false);
        application.completed(CLASS, 20, now);
        for (int i = 0; i < 3; i++) {
            now += Duration.ofSeconds(1).toNanos();
            application.completed(CLASS, 60, now);
        }
        assertEquals(7, application.limit());
    }

    private void seconds(int count, int worstMillis, boolean full) {
        for (int i = 0; i < count; i++) {
            limit.occupied(limit.limit(), full);
            limit.tokenInterval(worstMillis, 57, now);
            now += Duration.ofSeconds(1).toNanos();
            limit.tick(now);
        }
    }
}
