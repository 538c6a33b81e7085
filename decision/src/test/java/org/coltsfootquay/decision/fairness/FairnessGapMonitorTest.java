package org.coltsfootquay.decision.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.junit.jupiter.api.Test;

/** Guards against gaps that are missed inside an interval, and gaps counted while a workspace is not backlogged. */
final class FairnessGapMonitorTest {

    private static final WorkspaceId A = new WorkspaceId("a");
    private static final WorkspaceId B = new WorkspaceId("b");

    private final FairnessGapMonitor monitor = new FairnessGapMonitor();

    @Test
    void measuresAnyIntervalWithinCommonBacklog() {
        monitor.observe(Set.of(A, B));
        monitor.add(A, 100);
        monitor.observe(Set.of(A, B));
        monitor.add(B, 250);
        monitor.observe(Set.of(A, B));
        assertEquals(250, monitor.largest().orElseThrow().units());
        assertEquals(B, monitor.largest().orElseThrow().moreServed());
    }

    @Test
    void startsNewIntervalAfterBacklogEnds() {
        monitor.observe(Set.of(A, B));
        monitor.add(A, 100);
        monitor.observe(Set.of(A, B));
        monitor.observe(Set.of(A));
        monitor.add(A, 500);
        monitor.observe(Set.of(A, B));
        monitor.add(B, 60);
        monitor.observe(Set.of(A, B));
        assertEquals(100, monitor.largest().orElseThrow().units());
    }

    @Test
    void ignoresServiceOfWorkspaceWithoutBacklog() {
        monitor.add(A, 1_000);
        monitor.observe(Set.of(A));
        assertTrue(monitor.largest().isEmpty());
    }

    @Test
    void boundGrowsWithTheScaleOfTheError() {
        assertEquals(200 + 2 * 50 * Math.log(64) + 30, FairnessUtils.gapBound(100, 50, 30), 1e-9);
    }

    @Test
    void weightIsClamped() {
        assertEquals(64, FairnessUtils.weight(-1e9, 10));
        assertEquals(1.0 / 64, FairnessUtils.weight(1e9, 10));
        assertEquals(Math.exp(-1), FairnessUtils.weight(10, 10), 1e-12);
    }
}
