package org.coltsfootquay.cli.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootquay.decision.common.WorkspaceId;

/** Callers and disturbances of a scenario. */
final class ScenarioScript {

    /** Time from the beginning of the measurement to the disturbance. */
    private static final Duration DISTURBANCE = Duration.ofSeconds(80);

    private static final Duration END = Duration.ofSeconds(140);

    /** Part of the fleet's units a second that the reserved workspace bought. */
    private static final double RESERVED_PART = 0.05;

    private static final int LEAVING_ZONE = 1;

    private final MeasureScenario scenario;
    private final MeasureSize size;
    private final Duration measured;
    private final List<SimWorkspace> workspaces = new ArrayList<>();
    private final double fleetUnitsPerSecond;

    ScenarioScript(MeasureScenario scenario, MeasureSize size, Duration measured) {
        this.measured = measured;
        this.scenario = scenario;
        this.size = size;
        double tokensPerSecond = size.engines() * size.slots() * 1_000.0 / FakeEngine.TARGET_INTERVAL_MILLIS;
        double unitsPerToken = (SimClass.SUMMARY.largestInput + SimClass.SUMMARY.smallestInput)
                        / 2.0
                        / SimClass.SUMMARY.expectedOutput()
                + SimRequest.OUTPUT_UNITS;
        this.fleetUnitsPerSecond = tokensPerSecond * unitsPerToken;
        for (int i = 0; i < size.workspaces(); i++) {
            // A third of the entry routers is home to all large workspaces.
            int home = i < size.backlogged() ? i % Math.max(1, size.routers() / 3) : i % size.routers();
            workspaces.add(new SimWorkspace(new WorkspaceId(String.format("workspace-%03d", i)), home));
        }
        if (scenario == MeasureScenario.ZONE_LEAVES) {
            partlyUsed();
        } else {
            uneven();
        }
        if (scenario == MeasureScenario.PRIORITY_RETURNS || scenario == MeasureScenario.MIXED) {
            reserved().reservedPerSecond = Math.round(fleetUnitsPerSecond * RESERVED_PART);
            reserved().arrivalsPerSecond = 0;
        }
    }

    List<SimWorkspace> workspaces() {
        return workspaces;
    }

    /**
     * Schedules the disturbances.
     *
     * @param flooding whether the flood takes place; without it the run is the reference of the flood
     */
    void schedule(SimFleet fleet, SimWorkload workload, boolean flooding) {
        fleet.statistics.phase("before");
        if (scenario == MeasureScenario.FLOOD || scenario == MeasureScenario.MIXED) {
            flood(fleet, flooding);
        }
        if (scenario == MeasureScenario.PRIORITY_RETURNS || scenario == MeasureScenario.MIXED) {
            returns(fleet, workload);
        }
        if (scenario == MeasureScenario.COLD_START || scenario == MeasureScenario.MIXED) {
            fleet.deliverAfter(DISTURBANCE, () -> fleet.restart(fleet.engines.get(0)));
        }
        if (scenario == MeasureScenario.ZONE_LEAVES || scenario == MeasureScenario.MIXED) {
            fleet.deliverAfter(DISTURBANCE, () -> {
                fleet.statistics.phase("during");
                fleet.zoneLeaves(LEAVING_ZONE);
            });
            fleet.deliverAfter(END, () -> fleet.zoneReturns(LEAVING_ZONE));
        }
        if (scenario == MeasureScenario.STORE_DOWN && !fleet.central()) {
            fleet.deliverAfter(DISTURBANCE, fleet::storeDown);
            fleet.deliverAfter(END, fleet::storeUp);
        }
    }

    /** A few workspaces always have requests waiting, a third of them six times as many as the fair share. */
    private void uneven() {
        double fairSlots = (double) size.engines() * size.slots() / size.backlogged();
        for (int i = 0; i < size.workspaces(); i++) {
            SimWorkspace workspace = workspaces.get(i);
            if (i < size.backlogged()) {
                workspace.outstanding = (int) Math.round(fairSlots * (i % 3 == 0 ? 6 : 2.5));
                workspace.questions = i % 2 == 0 ? 0.1 : 0.4;
            } else {
                workspace.questions = 1;
                workspace.arrivalsPerSecond = 0.05;
            }
        }
    }

    /** Callers that do not wait for answers use 55% of the fleet. */
    private void partlyUsed() {
        double summary = 2_500 + SimRequest.OUTPUT_UNITS * SimClass.SUMMARY.expectedOutput();
        double question = 250 + SimRequest.OUTPUT_UNITS * SimClass.QUESTION.expectedOutput();
        double requestsPerSecond = 0.55 * fleetUnitsPerSecond / ((summary + question) / 2);
        for (SimWorkspace workspace : workspaces) {
            workspace.questions = 0.5;
            workspace.arrivalsPerSecond = requestsPerSecond / size.workspaces();
        }
    }

    private void flood(SimFleet fleet, boolean takesPlace) {
        SimWorkspace flooding = workspaces.get(0);
        flooding.excludedFromPhase = true;
        fleet.deliverAfter(DISTURBANCE, () -> {
            fleet.statistics.phase("during");
            flooding.outstanding *= takesPlace ? 20 : 1;
        });
    }

    private void returns(SimFleet fleet, SimWorkload workload) {
        for (int at = 10; at < measured.toSeconds() - 5; at += 3) {
            fleet.deliverAfter(Duration.ofSeconds(at), () -> workload.send(reserved(), SimClass.QUESTION));
        }
    }

    private SimWorkspace reserved() {
        return workspaces.get(workspaces.size() - 1);
    }
}
