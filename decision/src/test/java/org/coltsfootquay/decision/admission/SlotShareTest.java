package org.coltsfootquay.decision.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against workspaces below their share that are refused as often as those above it while requests wait for slots
 * of engines and not for prefill.
 */
final class SlotShareTest {

    private static final EngineFleet.Shape SMALL = shape(8, 64, 20);
    private static final EngineFleet.Shape LARGE_WITH_SMALL_BATCHES = shape(58, 24, 100);

    @Test
    void workspacesBelowTheirShareAreServedInAnOverloadByOne() {
        EngineFleet.assertLightWorkspacesAreServed(SMALL, 1, 4, 0.02);
    }

    @Test
    void workspacesBelowTheirShareAreServedInAnOverloadByMany() {
        EngineFleet.assertLightWorkspacesAreServed(SMALL, 6, 0.7, 0.02);
    }

    /** Of two workspaces above their share, the one that requests three times as much got three times as much. */
    @Test
    void workspacesAboveTheirShareGetTheSame() {
        for (long seed = 1; seed <= 3; seed++) {
            EngineFleet fleet = new EngineFleet(SMALL, seed);
            fleet.add("heavier", 3);
            fleet.add("heavy", 1);
            fleet.run();
            double ratio = fleet.begun("heavy") / (double) fleet.begun("heavier");
            assertTrue(ratio >= EngineFleet.MIN_SERVED, "seed " + seed + ": ratio of tokens " + ratio);
        }
    }

    /** Shares must not be enforced while slots are free, which would leave engines idle. */
    @Test
    void workspaceAboveItsShareIsServedWhileSlotsAreFree() {
        EngineFleet fleet = new EngineFleet(SMALL, 1);
        fleet.add("heavy", 0.7);
        fleet.add("light", 0.05);
        fleet.run();
        assertTrue(fleet.begunShare("heavy") > 0.97, "served: " + fleet.begunShare("heavy"));
    }

    /** Loads that were 200 ms old made small batches look full to many routers, so that two thirds were refused. */
    @Test
    void busyBatchesOfALargeFleetAreNotRefused() {
        EngineFleet fleet = new EngineFleet(LARGE_WITH_SMALL_BATCHES, 1);
        fleet.add("heavy", 0.6);
        for (int i = 0; i < 10; i++) {
            fleet.add("light-" + i, 0.025);
        }
        fleet.run();
        assertTrue(fleet.begunShare("heavy") > 0.97, "served: " + fleet.begunShare("heavy"));
    }

    /** Slots must stay in use when workspaces above their share are refused. */
    @Test
    void slotsAreUsedInAnOverload() {
        EngineFleet fleet = new EngineFleet(SMALL, 1);
        fleet.add("heavy", 4);
        fleet.add("light", 0.05);
        fleet.run();
        assertTrue(fleet.utilization() > 0.9, "utilization: " + fleet.utilization());
    }

    private static EngineFleet.Shape shape(int routers, int slots, int demandReportSteps) {
        return new EngineFleet.Shape(routers, 6, slots, Duration.ofSeconds(6), 300, 0, 0, 250, demandReportSteps);
    }
}
