package org.coltsfootquay.decision.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootquay.decision.configuration.AdministrativeState;
import org.coltsfootquay.decision.invariant.InvariantMonitor;

/** One run of a fault matrix cell: a control step under one or two faults. */
final class FaultMatrixCell {

    private static final long SEED = 4_200;
    private static final Duration WARM_UP_TIME = Duration.ofSeconds(16);
    private static final Duration SECOND_FAULT_DELAY = Duration.ofMillis(1_500);
    private static final Duration FAULT_DURATION = Duration.ofSeconds(14);
    private static final Duration RECOVERY_TIMEOUT = Duration.ofMinutes(3);

    private final ControlStep step;
    private final List<ControlFault> faults;
    private final List<String> failures = new ArrayList<>();
    private final SimulatedFleet fleet;
    private final SimulatedRouter subject;
    private final FleetInvariantChecker checker;
    private int startedFaults;
    private Duration recoveryTime = Duration.ZERO;

    FaultMatrixCell(ControlStep step, List<ControlFault> faults) {
        this.step = step;
        this.faults = faults;
        this.fleet = new SimulatedFleet(SEED, 5, 8);
        this.subject = fleet.routers().get(1);
        InvariantMonitor monitor =
                new InvariantMonitor(event -> failures.add(event.fields().toString()));
        this.checker = new FleetInvariantChecker(fleet, monitor);
    }

    /** Runs the cell and returns the failures. */
    List<String> run() {
        for (SimulatedRouter router : fleet.routers().subList(0, 4)) {
            if (router != subject || step.subjectRuns()) {
                router.start();
            }
        }
        advance(WARM_UP_TIME);
        for (ControlFault fault : faults) {
            fault.begin(fleet, subject);
            startedFaults++;
            if (startedFaults == 1) {
                step.perform(fleet, subject);
                advance(SECOND_FAULT_DELAY);
            }
        }
        advance(FAULT_DURATION);
        faults.forEach(fault -> fault.end(fleet, subject));
        long faultsEndNanos = fleet.nowNanos();
        awaitStep(faultsEndNanos);
        awaitConvergence(faultsEndNanos);
        recoveryTime = Duration.ofNanos(fleet.nowNanos() - faultsEndNanos);
        return failures;
    }

    /** Returns the number of faults that were started, so that a cell without a fault is detected. */
    int startedFaults() {
        return startedFaults;
    }

    /** Returns the time from the end of the faults until the step was done and the fleet had converged. */
    Duration recoveryTime() {
        return recoveryTime;
    }

    private void awaitStep(long sinceNanos) {
        while (failures.isEmpty() && !step.isDone(fleet, subject)) {
            if (fleet.nowNanos() - sinceNanos > RECOVERY_TIMEOUT.toNanos()) {
                failures.add("step is not done: " + checker.convergenceProblems());
                return;
            }
            step.perform(fleet, subject);
            advance(Duration.ofSeconds(2));
        }
    }

    private void awaitConvergence(long sinceNanos) {
        fleet.routers().forEach(SimulatedRouter::start);
        long nextAttemptNanos = fleet.nowNanos();
        while (failures.isEmpty() && !checker.convergenceProblems().isEmpty()) {
            if (fleet.nowNanos() - sinceNanos > RECOVERY_TIMEOUT.toNanos()) {
                failures.add("fleet is not settled: " + checker.convergenceProblems());
                return;
            }
            if (faults.contains(ControlFault.ZONE_OUT) && fleet.nowNanos() >= nextAttemptNanos) {
                nextAttemptNanos = fleet.nowNanos() + Duration.ofSeconds(10).toNanos();
                fleet.routers()
                        .get(0)
                        .control()
                        .submitter()
                        .changeZone(subject.zone(), AdministrativeState.IN_SERVICE, result -> {});
            }
            advance(Duration.ofMillis(500));
        }
    }

    private void advance(Duration duration) {
        long end = fleet.nowNanos() + duration.toNanos();
        while (fleet.nowNanos() < end && failures.isEmpty()) {
            fleet.step();
            checker.checkInvariants();
        }
    }
}
