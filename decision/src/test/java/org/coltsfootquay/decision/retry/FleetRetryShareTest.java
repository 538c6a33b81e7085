package org.coltsfootquay.decision.retry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootquay.decision.common.ServiceName;
import org.junit.jupiter.api.Test;

/** Guards against retry storms: all routers together must stay within the budget of every window. */
final class FleetRetryShareTest {

    private static final ServiceName SERVICE = new ServiceName("service");
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    @Test
    void repeatsOfAllRoutersStayWithinTheBudget() {
        int routers = 8;
        List<FleetRetryShare> shares = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            shares.add(new FleetRetryShare(0.2, 54, WINDOW));
        }
        int requests = 0;
        int repeats = 0;
        for (long now = 0; now < WINDOW.toNanos(); now += SECOND / 10) {
            for (FleetRetryShare share : shares) {
                share.recordRequest(SERVICE, now);
                requests++;
                repeats += share.tryAcquire(SERVICE, routers, now) ? 1 : 0;
            }
        }
        assertTrue(repeats <= 0.2 * requests + 54, repeats + " repeats for " + requests + " requests");
        assertTrue(repeats > 0);
    }

    @Test
    void budgetReturnsWhenTheWindowHasPassed() {
        FleetRetryShare share = new FleetRetryShare(0, 2, WINDOW);
        assertTrue(share.tryAcquire(SERVICE, 1, 0));
        assertFalse(share.tryAcquire(SERVICE, 1, SECOND));
        assertTrue(share.tryAcquire(SERVICE, 1, 11 * SECOND));
    }

    @Test
    void routerWithoutRequestsHasOnlyItsPartOfTheAllowance() {
        FleetRetryShare share = new FleetRetryShare(0.2, 10, WINDOW);
        int taken = 0;
        while (share.tryAcquire(SERVICE, 7, 0)) {
            taken++;
        }
        assertTrue(taken <= 10 / 7);
    }
}
