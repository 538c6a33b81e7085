package org.coltsfootquay.cli.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.coltsfootquay.decision.dispatch.PolicyName;
import org.junit.jupiter.api.Test;

/** Guards against a policy that misses its targets at today's size, and measurements that cannot be repeated. */
final class MeasurementTest {

    @Test
    void fleetPolicyMeetsTargetsWithUnevenWorkspaces() {
        MeasurementReport report = run(MeasureScenario.UNEVEN, PolicyName.FLEET);
        assertTrue(report.met(), report.targets().toString());
        assertEquals(Map.of(), report.violations());
    }

    @Test
    void fifoExceedsTheGapBound() {
        MeasurementReport report = run(MeasureScenario.UNEVEN, PolicyName.FIFO);
        assertTrue(report.fairnessGap() > report.gapBound(), "gap " + report.fairnessGap());
    }

    @Test
    void returningReservedWorkspaceMeetsItsTarget() {
        MeasurementReport report = run(MeasureScenario.PRIORITY_RETURNS, PolicyName.FLEET);
        assertTrue(report.met(), report.targets().toString());
    }

    @Test
    void coldEngineIsNeverGivenMoreThanItCanHandle() {
        MeasurementReport report = run(MeasureScenario.COLD_START, PolicyName.FLEET);
        assertEquals(0, report.coldExcess());
        assertTrue(report.zoneChange().cut() > 0, "the restart must break streams");
    }

    @Test
    void leavingZoneCutsAndRefusesNothing() {
        MeasurementReport report = run(MeasureScenario.ZONE_LEAVES, PolicyName.FLEET);
        assertEquals(0, report.zoneChange().cut());
        assertEquals(0, report.zoneChange().refused());
    }

    @Test
    void sameSeedGivesSameReport() {
        MeasurementReport first = run(MeasureScenario.ZONE_LEAVES, PolicyName.FLEET);
        MeasurementReport second = run(MeasureScenario.ZONE_LEAVES, PolicyName.FLEET);
        assertEquals(first.latencies(), second.latencies());
        assertEquals(first.fairnessGap(), second.fairnessGap());
        assertEquals(first.controlBytesPerSecond(), second.controlBytesPerSecond());
    }

    @Test
    void unknownLabelsNameTheChoices() {
        IllegalArgumentException unknown =
                assertThrows(IllegalArgumentException.class, () -> MeasureScenario.ofLabel("calm"));
        assertTrue(unknown.getMessage().contains("zone-leaves"));
    }

    private static MeasurementReport run(MeasureScenario scenario, PolicyName policy) {
        return new Measurement(scenario, policy, 1).run();
    }
}
