package org.coltsfootquay.decision.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.coltsfootquay.decision.common.ServiceName;
import org.junit.jupiter.api.Test;

/** Guards against retries that multiply the load of a service that fails. */
final class RetryBudgetTest {

    private static final ServiceName SERVICE = new ServiceName("service");
    private static final long SECOND = 1_000_000_000L;

    private final RetryBudget budget = new RetryBudget(42);

    @Test
    void tenPercentOfTheWindowAndOneASecondMayBeRetried() {
        for (int i = 0; i < 1_000; i++) {
            budget.recordRequest(SERVICE, i * SECOND / 100);
        }
        assertEquals(101, granted(500, 10 * SECOND - 1));
    }

    @Test
    void serviceWithoutRequestsMayRetryOnceASecond() {
        int granted = 0;
        for (int i = 0; i < 100; i++) {
            granted += granted(5, i * SECOND / 10);
        }
        assertEquals(10, granted);
    }

    @Test
    void oldRequestsLeaveTheWindow() {
        for (int i = 0; i < 1_000; i++) {
            budget.recordRequest(SERVICE, 0);
        }
        assertEquals(1, granted(500, 11 * SECOND));
    }

    @Test
    void servicesHaveSeparateBudgets() {
        for (int i = 0; i < 1_000; i++) {
            budget.recordRequest(new ServiceName("other"), 0);
        }
        assertEquals(1, granted(500, 0));
    }

    @Test
    void delaysAreSpreadOverTheWholeInterval() {
        for (int i = 0; i < 100_000; i++) {
            budget.recordRequest(SERVICE, 0);
        }
        long shortest = Long.MAX_VALUE;
        long longest = 0;
        for (int i = 0; i < 1_000; i++) {
            long delay = budget.tryRetry(SERVICE, 3, Long.MAX_VALUE, 0);
            shortest = Math.min(shortest, delay);
            longest = Math.max(longest, delay);
        }
        assertTrue(shortest < 5_000_000L, "shortest " + shortest);
        assertTrue(longest > 190_000_000L && longest <= 200_000_000L, "longest " + longest);
    }

    @Test
    void noRetryStartsPastTheDeadline() {
        for (int i = 0; i < 100_000; i++) {
            budget.recordRequest(SERVICE, 0);
        }
        for (int i = 0; i < 1_000; i++) {
            assertTrue(budget.tryRetry(SERVICE, 8, SECOND, 0) < SECOND);
        }
        assertEquals(-1, budget.tryRetry(SERVICE, 1, 0, 0));
    }

    private int granted(int tries, long nowNanos) {
        int granted = 0;
        for (int i = 0; i < tries; i++) {
            granted += budget.tryRetry(SERVICE, 1, Long.MAX_VALUE, nowNanos) >= 0 ? 1 : 0;
        }
        return granted;
    }
}
