package org.coltsfootquay.decision.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.dispatch.ServerState;
import org.coltsfootquay.decision.fairness.FairnessGapMonitor;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.junit.jupiter.api.Test;

/** Guards against checks that do not notice a violation: each test makes one by hand. */
final class SchedulingInvariantsTest {

    private static final ServiceName SERVICE = new ServiceName("lm");

    private final List<TimelineEvent> events = new ArrayList<>();
    private final InvariantMonitor monitor = new InvariantMonitor(events::add);
    private final SchedulingInvariants invariants = new SchedulingInvariants(monitor);

    @Test
    void noticesGapAboveTheBound() {
        FairnessGapMonitor.Gap gap = new FairnessGapMonitor.Gap(new WorkspaceId("a"), new WorkspaceId("b"), 1_001);
        assertTrue(invariants.checkFairnessGap(SERVICE, gap, 1_001));
        assertFalse(invariants.checkFairnessGap(SERVICE, gap, 1_000));
        assertViolated(Guarantee.G1);
        assertEquals("a", events.get(0).fields().get("workspace"));
    }

    @Test
    void noticesStarvingWorkspace() {
        WorkspaceId workspace = new WorkspaceId("a");
        assertTrue(invariants.checkStarvation(SERVICE, workspace, Duration.ofSeconds(61), 128, 2));
        assertTrue(invariants.checkStarvation(SERVICE, workspace, Duration.ofSeconds(60), 10_000, 2));
        assertFalse(invariants.checkStarvation(SERVICE, workspace, Duration.ofSeconds(61), 129, 2));
        assertViolated(Guarantee.G2);
    }

    @Test
    void noticesGrantAboveTheCapacity() {
        ServerName server = new ServerName("s");
        assertTrue(invariants.checkGrant(SERVICE, new ServerState(server, 4, 4, true, true)));
        assertFalse(invariants.checkGrant(SERVICE, new ServerState(server, 5, 4, true, true)));
        assertViolated(Guarantee.G3);
    }

    @Test
    void noticesGrantOnServerThatDoesNotAdmitWork() {
        assertFalse(invariants.checkGrant(SERVICE, new ServerState(new ServerName("s"), 1, 4, false, false)));
        assertViolated(Guarantee.G3);
    }

    @Test
    void noticesSharesAboveOne() {
        ServerName server = new ServerName("s");
        assertTrue(invariants.checkShares(server, Map.of(1L, 0.5, 2L, 0.5)));
        assertFalse(invariants.checkShares(server, Map.of(1L, 1.0, 2L, 0.5)));
        assertViolated(Guarantee.G3);
    }

    @Test
    void noticesIdleCapacityWhileWorkWaits() {
        assertTrue(observe(2, 100, 5, 0));
        assertTrue(observe(0, 100, 5, 29));
        assertTrue(observe(0, 100, 5, 61), "2 of 100 slots idle for half of the time is 1%");
        assertTrue(observe(2, 100, 5, 62));
        assertFalse(observe(2, 100, 5, 122));
        assertViolated(Guarantee.G11);
    }

    @Test
    void ignoresIdleCapacityWithoutWaitingWork() {
        assertTrue(observe(100, 100, 0, 0));
        assertTrue(observe(100, 100, 0, 70));
        assertTrue(events.isEmpty());
    }

    private boolean observe(int free, int capacity, int waiting, long seconds) {
        return invariants.checkIdleCapacity(
                SERVICE, free, capacity, waiting, Duration.ofSeconds(seconds).toNanos());
    }

    private void assertViolated(Guarantee guarantee) {
        assertEquals(1, monitor.count(guarantee));
        assertEquals(1, monitor.total());
        assertEquals(1, events.size());
    }
}
