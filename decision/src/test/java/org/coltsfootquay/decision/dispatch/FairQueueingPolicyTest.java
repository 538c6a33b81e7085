package org.coltsfootquay.decision.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.configuration.ClassOfWork;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.LatencyTarget;
import org.coltsfootquay.decision.configuration.Workspace;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.junit.jupiter.api.Test;

/** Guards against starvation by a flooding workspace, ignored fleet offsets, and delays of reserved capacity. */
final class FairQueueingPolicyTest {

    private final DispatchFixture fixture = new DispatchFixture(PolicyName.FLEET);

    @Test
    void servesBackloggedWorkspacesInTurnDespiteFlood() {
        fixture.ownServer("s1", 1);
        fixture.submit("first", "flood", 100);
        for (int i = 0; i < 40; i++) {
            fixture.submit("f" + i, "flood", 100);
        }
        for (int i = 0; i < 5; i++) {
            fixture.submit("q" + i, "quiet", 100);
        }
        completeGranted(10);
        long quiet = fixture.granted().subList(0, 11).stream()
                .filter(id -> id.startsWith("q"))
                .count();
        assertEquals(5, quiet);
    }

    @Test
    void sharesByServiceUnitsNotByRequests() {
        fixture.ownServer("s1", 1);
        for (int i = 0; i < 30; i++) {
            fixture.submit("l" + i, "large", 400);
            fixture.submit("s" + i, "small", 100);
        }
        completeGranted(20);
        long large = fixture.granted().stream().filter(id -> id.startsWith("l")).count();
        assertTrue(large >= 4 && large <= 6, "grants of the workspace with large requests: " + large);
    }

    @Test
    void givesLessToWorkspaceAboveTheFleetMean() {
        fixture.ownServer("s1", 1);
        setTotals(Map.of("above", 2_000L, "below", -2_000L), Map.of());
        for (int i = 0; i < 40; i++) {
            fixture.submit("a" + i, "above", 100);
            fixture.submit("b" + i, "below", 100);
        }
        completeGranted(30);
        long above = fixture.granted().stream().filter(id -> id.startsWith("a")).count();
        assertTrue(above <= 3, "grants of the workspace above the mean: " + above);
    }

    @Test
    void newTotalsRescaleVirtualStartFromOldWeights() {
        fixture.ownServer("s1", 1);
        setTotals(Map.of("x", 5_000L, "y", -5_000L), Map.of());
        for (int i = 0; i < 40; i++) {
            fixture.submit("x" + i, "x", 100);
            fixture.submit("y" + i, "y", 100);
        }
        completeGranted(10);
        fixture.nowNanos += Duration.ofSeconds(1).toNanos();
        setTotals(Map.of("x", 0L, "y", 0L), Map.of());
        int before = fixture.granted().size();
        completeGranted(12);
        long granted = fixture.granted().subList(before, before + 10).stream()
                .filter(id -> id.startsWith("x"))
                .count();
        assertTrue(granted >= 3, "grants after the offsets became zero: " + granted);
    }

    @Test
    void startsEarliestDeadlineAmongEligibleWorkspaces() {
        fixture.ownServer("s1", 1);
        fixture.submit("first", "w0", 100);
        submitWithDeadline("late", "w1", 9_000);
        submitWithDeadline("soon", "w2", 1_000);
        submitWithDeadline("later", "w2", 20_000);
        completeGranted(1);
        assertEquals(List.of("first", "soon"), fixture.granted());
    }

    @Test
    void reservedCapacityGoesFirstUntilItsRateIsUsed() {
        reserve("bought", 100);
        fixture.ownServer("s1", 1);
        fixture.submit("first", "other", 100);
        for (int i = 0; i < 20; i++) {
            fixture.submit("o" + i, "other", 400);
            fixture.submit("b" + i, "bought", 400);
        }
        completeGranted(3);
        assertEquals(List.of("first", "b0", "b1", "b2"), fixture.granted());
        completeGranted(6);
        assertTrue(fixture.granted().contains("o0"), "other workspaces must run when the reservation is used up");
    }

    @Test
    void preemptsLeastAdvancedStreamOfMostOverServedWorkspace() {
        reserve("bought", 1_000);
        fixture.ownServer("s1", 3);
        for (String id : List.of("a1", "a2", "c1")) {
            fixture.submit(id, id.substring(0, 1), 500);
            fixture.start(id);
        }
        fixture.handle(new DispatchEvent.Progressed(DispatchFixture.attempt("a1"), 300, 20));
        fixture.handle(new DispatchEvent.Progressed(DispatchFixture.attempt("a2"), 100, 20));
        List<DispatchAction> actions = fixture.submit("b", "bought", 500);
        assertEquals(
                DispatchFixture.attempt("a2"),
                DispatchFixture.onlyAction(actions, DispatchAction.Preempted.class)
                        .attempt());
        assertTrue(fixture.advance(Duration.ofMillis(20)).isEmpty(), "one stream is enough for one request");
        fixture.handle(new DispatchEvent.Ended(
                DispatchFixture.attempt("a2"), new EndReport(EndReport.Outcome.CANCELLED, 100, 50, 20, 900)));
        assertTrue(fixture.granted().contains("b"));
    }

    @Test
    void doesNotPreemptWhenSlotIsExpectedInTime() {
        reserve("bought", 1_000);
        fixture.ownServer("s1", 8);
        for (int i = 0; i < 9; i++) {
            fixture.submit("a" + i, "a", 500);
            fixture.start("a" + i);
        }
        fixture.complete("a0", 500, 1_000);
        fixture.start("a8");
        List<DispatchAction> actions = fixture.submit("b", "bought", 500);
        assertTrue(actions.stream().noneMatch(action -> action instanceof DispatchAction.Preempted));
    }

    @Test
    void refundsEstimateOfGrantThatWasNotUsed() {
        fixture.ownServer("s1", 1);
        fixture.submit("a", "w", 700);
        fixture.handle(new DispatchEvent.Withdrawn(DispatchFixture.attempt("a")));
        assertEquals(0, fixture.dispatcher.drainUsage().get(0).units());
    }

    @Test
    void correctsEstimateAtTheEnd() {
        fixture.ownServer("s1", 1);
        fixture.submit("a", "w", 700);
        fixture.start("a");
        assertEquals(700, fixture.dispatcher.drainUsage().get(0).units());
        fixture.handle(new DispatchEvent.Progressed(DispatchFixture.attempt("a"), 900, 20));
        assertEquals(200, fixture.dispatcher.drainUsage().get(0).units());
        fixture.complete("a", 950, 1_000);
        assertEquals(50, fixture.dispatcher.drainUsage().get(0).units());
    }

    private void submitWithDeadline(String id, String workspace, long millis) {
        fixture.handle(new DispatchEvent.Submitted(fixture.request(id, workspace, 100, Duration.ofMillis(millis))));
    }

    private void setTotals(Map<String, Long> offsets, Map<String, Long> rates) {
        fixture.handle(new DispatchEvent.TotalsChanged(new ServiceTotals(
                Map.of(
                        DispatchFixture.SERVICE,
                        new ServiceTotals.Totals(
                                byWorkspace(offsets), byWorkspace(rates), 1_000, offsets.size(), fixture.nowNanos)),
                Map.of(),
                1)));
    }

    private static Map<WorkspaceId, Long> byWorkspace(Map<String, Long> values) {
        return values.entrySet().stream()
                .collect(java.util.stream.Collectors.toMap(
                        entry -> new WorkspaceId(entry.getKey()), Map.Entry::getValue));
    }

    private void reserve(String workspace, long unitsPerSecond) {
        WorkspaceId id = new WorkspaceId(workspace);
        ClassOfWork work = new ClassOfWork(
                DispatchFixture.CLASS,
                DispatchFixture.SERVICE,
                new LatencyTarget(Optional.of(Duration.ofSeconds(10)), Optional.empty(), Optional.empty()),
                Duration.ofMinutes(5),
                true,
                List.of(),
                true);
        fixture.handle(new DispatchEvent.ConfigurationChanged(new FleetConfiguration(
                1,
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(work.name(), work),
                Map.of(id, new Workspace(id, List.of(), Map.of(DispatchFixture.SERVICE, unitsPerSecond))))));
    }

    /** Completes the most recently granted request, the given number of times. */
    private void completeGranted(int times) {
        for (int i = 0; i < times; i++) {
            String last = fixture.granted().get(fixture.granted().size() - 1);
            fixture.start(last);
            long units = fixture.submittedUnits.getOrDefault(last, 100L);
            fixture.complete(last, units, 100);
        }
    }
}
