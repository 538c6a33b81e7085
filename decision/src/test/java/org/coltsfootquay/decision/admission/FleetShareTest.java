package org.coltsfootquay.decision.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.junit.jupiter.api.Test;

/**
 * Guards against an overload of a large fleet in which workspaces below their share are refused as often as the others,
 * because routers know of each other's dispatches up to a second late.
 */
final class FleetShareTest {

    private static final ServiceName SERVICE = new ServiceName("service");
    private static final int ROUTERS = 40;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int STEPS_PER_SECOND = 100;
    private static final int SECONDS = 12;

    /** First seconds, in which the counters fill. */
    private static final int WARM_UP_SECONDS = 4;

    private static final Duration TARGET = Duration.ofMillis(700);
    private static final double PREFILL_TOKENS_PER_STEP = 2000;
    private static final double REQUEST_TOKENS = 1000;

    /** Operator's bound: at least half of what a workspace requests, if others get more. */
    private static final double MIN_SERVED = 0.5;

    @Test
    void workspacesBelowTheirShareAreServedInAnOverloadByOne() {
        assertLightWorkspacesAreServed(1, 6);
    }

    @Test
    void workspacesBelowTheirShareAreServedInAnOverloadByMany() {
        assertLightWorkspacesAreServed(10, 0.6);
    }

    @Test
    void workspacesBelowTheirShareAreServedInAHeavyOverloadByMany() {
        assertLightWorkspacesAreServed(10, 1.5);
    }

    /**
     * Simulates ten light workspaces beside heavy ones.
     *
     * @param heavy number of heavy workspaces
     * @param load tokens that each of them requests, as a multiple of the capacity
     */
    private static void assertLightWorkspacesAreServed(int heavy, double load) {
        for (long seed = 1; seed <= 3; seed++) {
            Fleet fleet = new Fleet(new Random(seed));
            for (int i = 0; i < heavy; i++) {
                fleet.add("heavy-" + i, load);
            }
            for (int i = 0; i < 10; i++) {
                fleet.add("light-" + i, 0.02);
            }
            fleet.run();
            for (int i = 0; i < 10; i++) {
                double served = fleet.servedShare(new WorkspaceId("light-" + i));
                assertTrue(served >= MIN_SERVED, "seed " + seed + ": light-" + i + " was served " + served);
            }
        }
    }

    /** Routers before one queue whose length they all know; each reports its demands to the others once a second. */
    private static final class Fleet {

        private final Random random;
        private final FairSharePolicy policy = new FairSharePolicy();
        private final List<DemandTracker> trackers = new ArrayList<>();
        private final Map<WorkspaceId, Double> requestsPerStep = new HashMap<>();
        private final Map<WorkspaceId, Integer> requested = new HashMap<>();
        private final Map<WorkspaceId, Integer> served = new HashMap<>();
        private double queuedTokens;

        private Fleet(Random random) {
            this.random = random;
            for (int i = 0; i < ROUTERS; i++) {
                trackers.add(new DemandTracker(0));
            }
        }

        private void add(String workspace, double load) {
            requestsPerStep.put(new WorkspaceId(workspace), load * PREFILL_TOKENS_PER_STEP / REQUEST_TOKENS);
        }

        private double servedShare(WorkspaceId workspace) {
            return served.getOrDefault(workspace, 0) / (double) requested.get(workspace);
        }

        private void run() {
            for (int step = 0; step < SECONDS * STEPS_PER_SECOND; step++) {
                long now = step * STEP.toNanos();
                queuedTokens = Math.max(0, queuedTokens - PREFILL_TOKENS_PER_STEP);
                report(step, now);
                boolean counted = step >= WARM_UP_SECONDS * STEPS_PER_SECOND;
                requestsPerStep.forEach((workspace, mean) -> {
                    int count = (int) (mean + random.nextDouble());
                    for (int i = 0; i < count; i++) {
                        request(workspace, now, counted);
                    }
                });
            }
        }

        /** Lets the routers whose turn it is send their demands to all others. */
        private void report(int step, long now) {
            for (int sender = 0; sender < ROUTERS; sender++) {
                if ((step + sender * STEPS_PER_SECOND / ROUTERS) % STEPS_PER_SECOND == 0) {
                    Map<ServiceName, Map<WorkspaceId, Demand>> report = Map.of(
                            SERVICE,
                            Map.copyOf(trackers.get(sender).localDemands(now).getOrDefault(SERVICE, Map.of())));
                    for (int receiver = 0; receiver < ROUTERS; receiver++) {
                        if (receiver != sender) {
                            trackers.get(receiver).replacePeerReport(new RouterId("r" + sender), report);
                        }
                    }
                }
            }
        }

        private void request(WorkspaceId workspace, long now, boolean counted) {
            DemandTracker tracker = trackers.get(random.nextInt(ROUTERS));
            tracker.recordRequested(SERVICE, workspace, REQUEST_TOKENS, now);
            Duration wait = Duration.ofNanos((long) (queuedTokens / PREFILL_TOKENS_PER_STEP * STEP.toNanos()));
            boolean admitted = policy.decide(
                            workspace, REQUEST_TOKENS, () -> tracker.totalDemands(SERVICE, now), wait, wait, TARGET)
                    .admitted();
            if (admitted) {
                tracker.recordDispatched(SERVICE, workspace, REQUEST_TOKENS, now);
                queuedTokens += REQUEST_TOKENS;
            }
            if (counted) {
                requested.merge(workspace, 1, Integer::sum);
                served.merge(workspace, admitted ? 1 : 0, Integer::sum);
            }
        }
    }
}
