package org.coltsfootquay.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.admission.AdmissionDecision.Reason;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.junit.jupiter.api.Test;

/** Guards against one workspace starving the others under overload, and against needless rejections. */
final class FairSharePolicyTest {

    private static final WorkspaceId LIGHT = new WorkspaceId("light");
    private static final WorkspaceId HEAVY = new WorkspaceId("heavy");
    private static final Duration TARGET = Duration.ofMillis(800);
    private static final Map<WorkspaceId, Demand> CONTENDED =
            Map.of(LIGHT, new Demand(100, 50), HEAVY, new Demand(1000, 400));

    private final FairSharePolicy policy = new FairSharePolicy();

    @Test
    void everyRequestIsAdmittedWhileTheWaitIsShort() {
        assertTrue(policy.decide(HEAVY, 10, () -> CONTENDED, Duration.ofMillis(20), Duration.ofMillis(20), TARGET)
                .admitted());
    }

    @Test
    void workspaceAboveTheFairShareIsRejectedUnderContention() {
        assertFalse(policy.decide(HEAVY, 10, () -> CONTENDED, Duration.ofMillis(300), Duration.ofMillis(300), TARGET)
                .admitted());
    }

    /** In a large fleet some server nearly always has a queue, which is no overload of the fleet. */
    @Test
    void workspaceAboveTheFairShareIsAdmittedWhileOtherServersHaveRoom() {
        assertTrue(policy.decide(HEAVY, 10, () -> CONTENDED, Duration.ofMillis(300), Duration.ofMillis(10), TARGET)
                .admitted());
    }

    @Test
    void workspaceBelowTheFairShareIsAdmittedUnderContention() {
        assertTrue(policy.decide(LIGHT, 10, () -> CONTENDED, Duration.ofMillis(300), Duration.ofMillis(300), TARGET)
                .admitted());
    }

    /** Above the wait at which workspaces at their share are rejected, those below it were rejected as often. */
    @Test
    void workspaceBelowTheFairShareIsRejectedLaterThanTheOthers() {
        Duration wait = Duration.ofMillis(440);
        assertTrue(policy.decide(LIGHT, 10, () -> CONTENDED, wait, wait, TARGET).admitted());
        assertFalse(
                policy.decide(HEAVY, 10, () -> CONTENDED, wait, wait, TARGET).admitted());
    }

    @Test
    void noWorkspaceIsBelowItsShareWhileEverythingIsDispatched() {
        Map<WorkspaceId, Demand> demands = Map.of(LIGHT, new Demand(100, 100), HEAVY, new Demand(1000, 1000));
        Duration wait = Duration.ofMillis(440);
        assertFalse(policy.decide(LIGHT, 10, () -> demands, wait, wait, TARGET).admitted());
    }

    @Test
    void everyRequestIsRejectedWhenTheResponseWouldBeTooLate() {
        assertFalse(policy.decide(LIGHT, 10, () -> CONTENDED, Duration.ofMillis(1100), Duration.ofMillis(1100), TARGET)
                .admitted());
    }

    @Test
    void fairShareDividesWhatLightWorkspacesLeave() {
        List<Demand> demands = List.of(new Demand(100, 100), new Demand(900, 500), new Demand(900, 400));
        assertEquals(450, DemandTracker.maxMinFairShare(demands), 1e-9);
    }

    @Test
    void fairShareIsUnboundedWhenEverythingWasDispatched() {
        assertEquals(Double.MAX_VALUE, DemandTracker.maxMinFairShare(List.of(new Demand(100, 100))));
    }

    /**
     * Simulates one workspace that sends nine times the load of each of three others, on an engine that prefills 1,000
     * tokens a step. First come, first served gives nearly all capacity to that workspace; with the policy, the
     * others get nearly all that they request.
     */
    @Test
    void floodByOneWorkspaceDoesNotStarveTheOthers() {
        Map<WorkspaceId, Double> fair = simulateFlood(policy);
        Map<WorkspaceId, Double> firstComeFirstServed = simulateFlood(
                (workspace, tokens, demands, queueTime, meanQueueTime, target) -> AdmissionDecision.withoutShares(
                        queueTime.compareTo(Duration.ofSeconds(1)) <= 0 ? Reason.NO_WAIT : Reason.TOO_LATE));
        assertTrue(fair.get(LIGHT) > 0.9, "served fraction of a light workspace: " + fair.get(LIGHT));
        assertTrue(
                firstComeFirstServed.get(LIGHT) < 0.5,
                "served fraction with first come, first served: " + firstComeFirstServed.get(LIGHT));
    }

    private static Map<WorkspaceId, Double> simulateFlood(AdmissionPolicy policy) {
        DemandTracker tracker = new DemandTracker(0);
        ServiceName service = new ServiceName("service");
        List<WorkspaceId> workspaces = List.of(
                HEAVY,
                HEAVY,
                HEAVY,
                HEAVY,
                HEAVY,
                HEAVY,
                HEAVY,
                HEAVY,
                HEAVY,
                new WorkspaceId("light-1"),
                new WorkspaceId("light-2"),
                LIGHT);
        Map<WorkspaceId, Integer> requested = new HashMap<>();
        Map<WorkspaceId, Integer> served = new HashMap<>();
        double queuedTokens = 0;
        for (int step = 0; step < 400; step++) {
            long now = Duration.ofMillis(20L * step).toNanos();
            queuedTokens = Math.max(0, queuedTokens - 1000);
            for (WorkspaceId workspace : workspaces) {
                double tokens = 250;
                requested.merge(workspace, 1, Integer::sum);
                tracker.recordRequested(service, workspace, tokens, now);
                Duration queueTime = Duration.ofMillis((long) (queuedTokens / 1000 * 20));
                if (policy.decide(
                                workspace,
                                tokens,
                                () -> tracker.totalDemands(service, now),
                                queueTime,
                                queueTime,
                                TARGET)
                        .admitted()) {
                    tracker.recordDispatched(service, workspace, tokens, now);
                    served.merge(workspace, 1, Integer::sum);
                    queuedTokens += tokens;
                }
            }
        }
        Map<WorkspaceId, Double> servedFractions = new HashMap<>();
        requested.forEach((workspace, count) ->
                servedFractions.put(workspace, served.getOrDefault(workspace, 0) / (double) count));
        return servedFractions;
    }
}
