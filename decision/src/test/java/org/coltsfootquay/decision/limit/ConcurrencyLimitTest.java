package org.coltsfootquay.decision.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.OptionalInt;
import org.coltsfootquay.decision.common.RequestClassName;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.junit.jupiter.api.Test;

/** Guards against limits that overload a server, collapse on one congestion, or let a cold server be flooded. */
final class ConcurrencyLimitTest {

    private static final RequestClassName CLASS = new RequestClassName("summary");

    private long now = Duration.ofHours(1).toNanos();
    private final ConcurrencyLimit limit = new ConcurrencyLimit(ConcurrencyLimitSettings.defaults(), ServiceKind.MODEL, now);

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
            limit.recordInFlight(10, true);
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
            limit.recordInFlight(100, false);
            limit.recordTokenInterval(80, 57, now);
            now += Duration.ofSeconds(1).toNanos();
            limit.tick(now);
        }
        assertEquals(70, limit.limit());
    }

    @Test
    void countsManySlowStreamsOfOneSecondAsOneSign() {
        limit.restore(100, false);
        for (int i = 0; i < 50; i++) {
            limit.recordTokenInterval(80, 57, now);
        }
        now += Duration.ofSeconds(1).toNanos();
        limit.tick(now);
        assertEquals(70, limit.limit());
    }

    @Test
    void rampAddsOneSlotForEachCompletedRequestUpToFormerLimit() {
        limit.restore(4, false);
        limit.startColdRamp(OptionalInt.empty(), now);
        assertEquals(1, limit.limit());
        completeInUse();
        assertEquals(2, limit.limit());
        nextWindow();
        completeInUse();
        assertEquals(3, limit.limit());
        assertTrue(limit.isRamping());
        completeInUse();
        completeInUse();
        assertEquals(4, limit.limit());
        assertFalse(limit.isRamping());
    }

    @Test
    void rampAtMostDoublesInOneWindowOfLatency() {
        limit.restore(1_000, false);
        limit.startColdRamp(OptionalInt.empty(), now);
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
        limit.startColdRamp(OptionalInt.empty(), now);
        for (int window = 0; window < 20; window++) {
            limit.recordInFlight(3, false);
            for (int i = 0; i < 100; i++) {
                limit.recordCompletion(CLASS, 300, now);
            }
            nextWindow();
        }
        assertEquals(6, limit.limit());
    }

    private void completeInUse() {
        limit.recordInFlight(limit.limit(), true);
        limit.recordCompletion(CLASS, 300, now);
    }

    private void nextWindow() {
        now += Duration.ofSeconds(1).toNanos();
        limit.tick(now);
    }

    @Test
    void rampBeginsWithWhatTheServerCanHandle() {
        limit.restore(40, false);
        limit.recordLoadReport(0, 0, true, OptionalInt.of(5), 2_000, now, now);
        assertEquals(5, limit.limit());
    }

    @Test
    void decreasedUptimeMeansRestart() {
        limit.restore(40, false);
        limit.recordLoadReport(10, 0, false, OptionalInt.empty(), 500_000, now, now);
        assertEquals(40, limit.limit());
        limit.recordLoadReport(0, 0, false, OptionalInt.empty(), 100_000, now, now);
        assertEquals(1, limit.limit());
    }

    @Test
    void latencyFarAboveItsUsualValueMeansCold() {
        limit.restore(40, false);
        seconds(8, 20, false);
        seconds(2, 90, false);
        assertTrue(limit.isRamping());
    }

    @Test
    void serverWithoutHistoryLeavesRampAtFirstSlowTokens() {
        for (int i = 0; i < 9; i++) {
            completeInUse();
            nextWindow();
        }
        assertEquals(10, limit.limit());
        seconds(2, 80, false);
        assertFalse(limit.isRamping());
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
        limit.recordLoadReport(40, 0, false, OptionalInt.empty(), 500_000, now, now);
        limit.recordInFlight(40, true);
        limit.recordBrokenConnection(now);
        limit.recordBrokenConnection(now);
        assertEquals(1, limit.limit());
        limit.recordLoadReport(40, 0, false, OptionalInt.empty(), 500_100, now - 1, now);
        assertTrue(limit.isRamping(), "a report from before the break says nothing");
        now += Duration.ofSeconds(1).toNanos();
        limit.recordLoadReport(38, 0, false, OptionalInt.empty(), 501_000, now, now);
        assertFalse(limit.isRamping());
        assertTrue(limit.limit() >= 27, "limit " + limit.limit());
    }

    @Test
    void rampStaysWithinWhatColdServerCanHandle() {
        limit.restore(40, false);
        limit.recordLoadReport(0, 0, true, OptionalInt.of(3), 2_000, now, now);
        limit.recordCompletion(CLASS, 1_000, now);
        assertEquals(3, limit.limit());
    }

    @Test
    void applicationServerIsJudgedByItsSmallestResponseTime() {
        ConcurrencyLimit application = new ConcurrencyLimit(ConcurrencyLimitSettings.defaults(), ServiceKind.APPLICATION, now);
        application.restore(10, false);
        application.recordCompletion(CLASS, 20, now);
        for (int i = 0; i < 3; i++) {
            now += Duration.ofSeconds(1).toNanos();
            application.recordCompletion(CLASS, 60, now);
        }
        assertEquals(7, application.limit());
    }

    private void seconds(int count, int worstMillis, boolean full) {
        for (int i = 0; i < count; i++) {
            limit.recordInFlight(limit.limit(), full);
            limit.recordTokenInterval(worstMillis, 57, now);
            now += Duration.ofSeconds(1).toNanos();
            limit.tick(now);
        }
    }
}
