package org.coltsfootquay.decision.retry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootquay.decision.common.ServiceName;
import org.junit.jupiter.api.Test;

/** Guards against retry storms: all routers together must stay within the budget of each window. */
final class FleetRetryShareTest {

    private static final ServiceName SERVICE = new ServiceName("service");
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    @Test
    void retriesOfAllRoutersStayWithinTheBudget() {
        int routers = 8;
        List<FleetRetryShare> shares = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            shares.add(new FleetRetryShare(0.2, 54, WINDOW));
        }
        int requests = 0;
        int retries = 0;
        for (long now = 0; now < WINDOW.toNanos(); now += SECOND / 10) {
            for (FleetRetryShare share : shares) {
                share.recordRequest(SERVICE, now);
                requests++;
                retries += share.tryAcquire(SERVICE, routers, now) ? 1 : 0;
            }
        }
        assertTrue(retries <= 0.2 * requests + 54, retries + " retries for " + requests + " requests");
        assertTrue(retries > 0);
    }

    /** A service that never asks for a retry kept the time of each of its requests until the process ended. */
    @Test
    void requestsOfAServiceWithoutRetriesAreForgotten() {
        FleetRetryShare share = new FleetRetryShare(0.2, 54, WINDOW);
        for (long now = 0; now < 100 * SECOND; now += SECOND) {
            share.recordRequest(SERVICE, now);
        }
        assertTrue(share.recordedRequests(SERVICE) <= 11, share.recordedRequests(SERVICE) + " requests are kept");
    }

    @Test
    void budgetIsRestoredWhenTheWindowHasPassed() {
        FleetRetryShare share = new FleetRetryShare(0, 2, WINDOW);
        assertTrue(share.tryAcquire(SERVICE, 1, 0));
        assertFalse(share.tryAcquire(SERVICE, 1, SECOND));
        assertTrue(share.tryAcquire(SERVICE, 1, 11 * SECOND));
    }

    @Test
    void routerWithoutRequestsHasOnlyItsShareOfTheAllowance() {
        FleetRetryShare share = new FleetRetryShare(0.2, 10, WINDOW);
        int taken = 0;
        while (share.tryAcquire(SERVICE, 7, 0)) {
            taken++;
        }
        assertTrue(taken <= 10 / 7);
    }
}
