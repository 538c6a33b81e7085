package org.coltsfootquay.decision.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.OptionalInt;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.junit.jupiter.api.Test;

/** Guards against limits that overload a server, collapse after one congestion, or overload a cold server. */
final class ConcurrencyLimitTest {

    private static final ClassOfWorkName CLASS = new ClassOfWorkName("summary");

    private long now = Duration.ofHours(1).toNanos();
    private final ConcurrencyLimit limit =
            new ConcurrencyLimit(ConcurrencyLimitSettings.standard(), ServiceKind.MODEL, now);

    @Test
    void increasesByOnePerSecondWhenFullyUsedWithinTarget() {
        limit.restore(10, false);
        runSeconds(5, 40, true);
        assertTrue(limit.limit() >= 13 && limit.limit() <= 15, "limit " + limit.limit());
    }

    @Test
    void doesNotIncreaseWhenNotFullyUsed() {
        limit.restore(10, false);
        runSeconds(5, 40, false);
        assertEquals(10, limit.limit());
    }

    @Test
    void doesNotIncreaseWithoutLatencySamples() {
        limit.restore(10, false);
        for (int i = 0; i < 5; i++) {
            limit.recordInFlight(10, true);
            now += Duration.ofSeconds(1).toNanos();
            limit.tick(now);
        }
        assertEquals(10, limit.limit());
    }

    @Test
    void decreasesToSevenTenthsWhenTokenIntervalExceedsTarget() {
        limit.restore(100, false);
        runSeconds(1, 40, true);
        runSeconds(2, 80, true);
        assertTrue(limit.limit() >= 69 && limit.limit() <= 72, "limit " + limit.limit());
    }

    @Test
    void doesNotDecreaseAgainBeforeTheRequestsInFlightHaveDropped() {
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
    void decreasesOnceForManySlowStreamsInOneSecond() {
        limit.restore(100, false);
        for (int i = 0; i < 50; i++) {
            limit.recordTokenInterval(80, 57, now);
        }
        now += Duration.ofSeconds(1).toNanos();
        limit.tick(now);
        assertEquals(70, limit.limit());
    }

    @Test
    void rampAddsOneSlotPerCompletedRequestUpToThePreviousLimit() {
        limit.restore(4, false);
        limit.startColdRamp(OptionalInt.empty(), now);
        assertEquals(1, limit.limit());
        completeRequestAtFullUse();
        assertEquals(2, limit.limit());
        nextWindow();
        completeRequestAtFullUse();
        assertEquals(3, limit.limit());
        assertTrue(limit.isRamping());
        completeRequestAtFullUse();
        completeRequestAtFullUse();
        assertEquals(4, limit.limit());
        assertFalse(limit.isRamping());
    }

    @Test
    void rampAtMostDoublesInOneWindowOfLatency() {
        limit.restore(1_000, false);
        limit.startColdRamp(OptionalInt.empty(), now);
        for (int expected : new int[] {2, 4, 8, 16}) {
            for (int i = 0; i < 100; i++) {
                completeRequestAtFullUse();
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

    private void completeRequestAtFullUse() {
        limit.recordInFlight(limit.limit(), true);
        limit.recordCompletion(CLASS, 300, now);
    }

    private void nextWindow() {
        now += Duration.ofSeconds(1).toNanos();
        limit.tick(now);
    }

    @Test
    void rampStartsAtTheLimitThatTheServerReports() {
        limit.restore(40, false);
        limit.recordLoadReport(0, 0, true, OptionalInt.of(5), 2_000, now, now);
        assertEquals(5, limit.limit());
    }

    @Test
    void decreasedUptimeIndicatesRestart() {
        limit.restore(40, false);
        limit.recordLoadReport(10, 0, false, OptionalInt.empty(), 500_000, now, now);
        assertEquals(40, limit.limit());
        limit.recordLoadReport(0, 0, false, OptionalInt.empty(), 100_000, now, now);
        assertEquals(1, limit.limit());
    }

    @Test
    void latencyFarAboveItsUsualValueIndicatesColdServer() {
        limit.restore(40, false);
        runSeconds(8, 20, false);
        runSeconds(2, 90, false);
        assertTrue(limit.isRamping());
    }

    @Test
    void serverWithoutHistoryLeavesRampAtFirstSlowTokens() {
        for (int i = 0; i < 9; i++) {
            completeRequestAtFullUse();
            nextWindow();
        }
        assertEquals(10, limit.limit());
        runSeconds(2, 80, false);
        assertFalse(limit.isRamping());
        assertEquals(7, limit.limit());
    }

    @Test
    void smallExcessDecreasesOnlyAsFarAsNeeded() {
        limit.restore(100, false);
        runSeconds(2, 60, false);
        assertEquals(92, limit.limit());
    }

    @Test
    void twoBrokenConnectionsStartRampUntilLoadReportShowsNoRestart() {
        limit.restore(40, false);
        limit.recordLoadReport(40, 0, false, OptionalInt.empty(), 500_000, now, now);
        limit.recordInFlight(40, true);
        limit.recordBrokenConnection(now);
        limit.recordBrokenConnection(now);
        assertEquals(1, limit.limit());
        limit.recordLoadReport(40, 0, false, OptionalInt.empty(), 500_100, now - 1, now);
        assertTrue(limit.isRamping(), "a report measured before the connections broke does not end the ramp");
        now += Duration.ofSeconds(1).toNanos();
        limit.recordLoadReport(38, 0, false, OptionalInt.empty(), 501_000, now, now);
        assertFalse(limit.isRamping());
        assertTrue(limit.limit() >= 27, "limit " + limit.limit());
    }

    @Test
    void rampStaysWithinTheLimitThatAColdServerReports() {
        limit.restore(40, false);
        limit.recordLoadReport(0, 0, true, OptionalInt.of(3), 2_000, now, now);
        limit.recordCompletion(CLASS, 1_000, now);
        assertEquals(3, limit.limit());
    }

    @Test
    void applicationServerIsComparedWithItsMinimumResponseTime() {
        ConcurrencyLimit application =
                new ConcurrencyLimit(ConcurrencyLimitSettings.standard(), ServiceKind.APPLICATION, now);
        application.restore(10, false);
        application.recordCompletion(CLASS, 20, now);
        for (int i = 0; i < 3; i++) {
            now += Duration.ofSeconds(1).toNanos();
            application.recordCompletion(CLASS, 60, now);
        }
        assertEquals(7, application.limit());
    }

    private void runSeconds(int count, int worstMillis, boolean full) {
        for (int i = 0; i < count; i++) {
            limit.recordInFlight(limit.limit(), full);
            limit.recordTokenInterval(worstMillis, 57, now);
            now += Duration.ofSeconds(1).toNanos();
            limit.tick(now);
        }
    }
}
