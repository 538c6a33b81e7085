package org.coltsfootquay.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.junit.jupiter.api.Test;

/** Guards against a workspace that crowds out others at the worst load, and against refusals without need. */
final class FairSharePolicyTest {

    private static final WorkspaceId SMALL = new WorkspaceId("small");
    private static final WorkspaceId LARGE = new WorkspaceId("large");
    private static final Duration TARGET = Duration.ofMillis(800);
    private static final Map<WorkspaceId, Demand> CROWDED =
            Map.of(SMALL, new Demand(100, 50), LARGE, new Demand(1000, 400));

    private final FairSharePolicy policy = new FairSharePolicy();

    @Test
    void everyoneIsServedWhileTheWaitIsShort() {
        assertTrue(policy.admits(LARGE, 10, () -> CROWDED, Duration.ofMillis(100), TARGET));
    }

    @Test
    void workspaceAboveTheFairLevelIsRefusedUnderContention() {
        assertFalse(policy.admits(LARGE, 10, () -> CROWDED, Duration.ofMillis(400), TARGET));
    }

    @Test
    void workspaceBelowTheFairLevelIsServedUnderContention() {
        assertTrue(policy.admits(SMALL, 10, () -> CROWDED, Duration.ofMillis(400), TARGET));
    }

    @Test
    void nobodyIsSentWhenTheAnswerWouldBeTooLate() {
        assertFalse(policy.admits(SMALL, 10, () -> CROWDED, Duration.ofMillis(1100), TARGET));
    }

    @Test
    void fairLevelDividesWhatSmallWorkspacesLeave() {
        List<Demand> demands = List.of(new Demand(100, 100), new Demand(900, 500), new Demand(900, 400));
        assertEquals(450, DemandTracker.maxMinFairShare(demands), 1e-9);
    }

    @Test
    void fairLevelIsUnboundedWhenEverythingWasSent() {
        assertEquals(Double.MAX_VALUE, DemandTracker.maxMinFairShare(List.of(new Demand(100, 100))));
    }

    /**
     * Replays a flood by one workspace beside three usual ones at an engine that reads 1,000 tokens in each step.
     * Without the rule the flood gets nearly everything; with it the others get what they ask for.
     */
    @Test
    void floodOfOneWorkspaceDoesNotCrowdOutTheOthers() {
        Map<WorkspaceId, Double> fair = replayFlood(policy);
        Map<WorkspaceId, Double> first = replayFlood(
                (workspace, tokens, demands, expected, target) -> expected.compareTo(Duration.ofSeconds(1)) <= 0);
        assertTrue(fair.get(SMALL) > 0.9, "served part of a usual workspace: " + fair.get(SMALL));
        assertTrue(first.get(SMALL) < 0.5, "served part first come, first served: " + first.get(SMALL));
    }

    private static Map<WorkspaceId, Double> replayFlood(AdmissionPolicy rule) {
        DemandTracker board = new DemandTracker(0);
        ServiceName service = new ServiceName("service");
        List<WorkspaceId> workspaces = List.of(
                LARGE,
                LARGE,
                LARGE,
                LARGE,
                LARGE,
                LARGE,
                LARGE,
                LARGE,
                LARGE,
                new WorkspaceId("usual-1"),
                new WorkspaceId("usual-2"),
                SMALL);
        Map<WorkspaceId, Integer> asked = new HashMap<>();
        Map<WorkspaceId, Integer> served = new HashMap<>();
        double queue = 0;
        for (int step = 0; step < 400; step++) {
            long now = Duration.ofMillis(20L * step).toNanos();
            queue = Math.max(0, queue - 1000);
            for (WorkspaceId workspace : workspaces) {
                double tokens = 250;
                asked.merge(workspace, 1, Integer::sum);
                board.recordRequested(service, workspace, tokens, now);
                Duration expected = Duration.ofMillis((long) (queue / 1000 * 20));
                if (rule.admits(workspace, tokens, () -> board.totalDemands(service, now), expected, TARGET)) {
                    board.recordDispatched(service, workspace, tokens, now);
                    served.merge(workspace, 1, Integer::sum);
                    queue += tokens;
                }
            }
        }
        Map<WorkspaceId, Double> parts = new HashMap<>();
        asked.forEach((workspace, count) -> parts.put(workspace, served.getOrDefault(workspace, 0) / (double) count));
        return parts;
    }
}
