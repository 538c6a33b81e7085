package org.coltsfootquay.decision.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootquay.decision.configuration.AdministrativeState;
import org.coltsfootquay.decision.invariant.InvariantMonitor;

/** One cell of the fault matrix: a step under one or two faults. */
final class FaultMatrixCell {

    private static final long SEED = 4_200;
    private static final Duration WARM_UP = Duration.ofSeconds(16);
    private static final Duration SECOND_FAULT_AFTER = Duration.ofMillis(1_500);
    private static final Duration FAULTS = Duration.ofSeconds(14);
    private static final Duration PROGRESS_LIMIT = Duration.ofMinutes(3);

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

    /** Runs the cell and returns what went wrong. */
    List<String> run() {
        for (SimulatedRouter router : fleet.routers().subList(0, 4)) {
            if (router != subject || step.subjectRuns()) {
                router.start();
            }
        }
        advance(WARM_UP);
        for (ControlFault fault : faults) {
            fault.begin(fleet, subject);
            startedFaults++;
            if (startedFaults == 1) {
                step.perform(fleet, subject);
                advance(SECOND_FAULT_AFTER);
            }
        }
        advance(FAULTS);
        faults.forEach(fault -> fault.end(fleet, subject));
        long end = fleet.nowNanos();
        awaitStep(end);
        awaitSettled(end);
        recoveryTime = Duration.ofNanos(fleet.nowNanos() - end);
        return failures;
    }

    /** Returns how many faults began, so that a cell that injects nothing is noticed. */
    int startedFaults() {
        return startedFaults;
    }

    /** Returns the time from the end of the faults until the step was done and the fleet settled. */
    Duration recoveryTime() {
        return recoveryTime;
    }

    private void awaitStep(long since) {
        while (failures.isEmpty() && !step.isDone(fleet, subject)) {
            if (fleet.nowNanos() - since > PROGRESS_LIMIT.toNanos()) {
                failures.add("step is not done: " + checker.convergenceProblems());
                return;
            }
            step.perform(fleet, subject);
            advance(Duration.ofSeconds(2));
        }
    }

    private void awaitSettled(long since) {
        fleet.routers().forEach(SimulatedRouter::start);
        long next = fleet.nowNanos();
        while (failures.isEmpty() && !checker.convergenceProblems().isEmpty()) {
            if (fleet.nowNanos() - since > PROGRESS_LIMIT.toNanos()) {
                failures.add("fleet is not settled: " + checker.convergenceProblems());
                return;
            }
            if (faults.contains(ControlFault.ZONE_OUT) && fleet.nowNanos() >= next) {
                next = fleet.nowNanos() + Duration.ofSeconds(10).toNanos();
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
