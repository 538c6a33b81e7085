package org.coltsfootquay.cli.measure;

import java.time.Duration;
import java.util.SplittableRandom;

/** Callers of the simulated workspaces. */
final class SimWorkload {

    /** Part of a workspace's requests that come through its home entry router. */
    private static final double HOME_PART = 0.8;

    private static final Duration ARRIVAL_STEP = Duration.ofMillis(20);

    private final SimFleet fleet;
    private final SplittableRandom random;
    private long next;

    SimWorkload(SimFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new SplittableRandom(seed);
    }

    void begin() {
        fleet.timers.schedulePeriodic("arrivals", ARRIVAL_STEP, this::arrivals);
    }

    /** Sends one request of a workspace. */
    SimRequest send(SimWorkspace workspace, SimClass classOfWork) {
        int entry = random.nextDouble() < HOME_PART ? workspace.home : random.nextInt(1 << 20);
        SimRequest request = new SimRequest(
                workspace.id + "-" + next++,
                workspace,
                classOfWork,
                between(classOfWork.smallestInput, classOfWork.largestInput),
                between(classOfWork.smallestOutput, classOfWork.largestOutput),
                fleet.routers.get(entry % fleet.routers.size()),
                fleet.now());
        workspace.open++;
        fleet.arrive(request);
        return request;
    }

    void completed(SimRequest request) {
        request.workspace.open--;
        fill(request.workspace);
    }

    void refused(SimRequest request, Duration retryAfter) {
        request.workspace.open--;
        if (request.workspace.outstanding > 0) {
            fleet.deliverAfter(retryAfter, () -> fill(request.workspace));
        }
    }

    private void arrivals() {
        for (SimWorkspace workspace : fleet.workspaces) {
            double expected = workspace.arrivalsPerSecond * ARRIVAL_STEP.toMillis() / 1e3;
            while (expected > 0 && random.nextDouble() < expected) {
                send(workspace, choose(workspace));
                expected--;
            }
            // Callers of a closed workload begin over some time, as they would in use.
            if (workspace.open < workspace.outstanding && random.nextDouble() < 0.2) {
                send(workspace, choose(workspace));
            }
        }
    }

    private void fill(SimWorkspace workspace) {
        if (workspace.open < workspace.outstanding) {
            send(workspace, choose(workspace));
        }
    }

    private SimClass choose(SimWorkspace workspace) {
        return random.nextDouble() < workspace.questions ? SimClass.QUESTION : SimClass.SUMMARY;
    }

    private int between(int smallest, int largest) {
        return smallest + random.nextInt(largest - smallest + 1);
    }
}
