package org.coltsfootquay.decision.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.AdministrativeState;
import org.coltsfootquay.decision.configuration.SubmitResult;
import org.coltsfootquay.decision.invariant.InvariantMonitor;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timer.DrivenTimerService;

/**
 * Simulation of a fleet with random faults and operator commands, reproducible from its seed.
 *
 * <p>A run starts all routers, starts and ends faults at random times, ends all faults and waits for the fleet to
 * converge. The invariants are checked after each step.
 */
public final class RandomFaultSimulation {

    private static final Duration CONVERGENCE_TIMEOUT = Duration.ofMinutes(3);
    private static final int ACTION_COUNT = 13;

    private final long seed;
    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private final FleetInvariantChecker checker;
    private final InvariantMonitor monitor;
    private final List<String> violations = new ArrayList<>();
    private final List<String> actionLog = new ArrayList<>();
    private final DrivenTimerService faultEndTimers = new DrivenTimerService(0);
    private long submissionCount;

    /**
     * Creates a simulation.
     *
     * @param seed seed of all random choices
     * @param routers number of routers
     */
    public RandomFaultSimulation(long seed, int routers) {
        this.seed = seed;
        this.fleet = new SimulatedFleet(seed, routers, 8);
        this.random = new SplittableRandom(seed ^ 0x5deece66dL);
        this.monitor = new InvariantMonitor(this::handleViolation);
        this.checker = new FleetInvariantChecker(fleet, monitor);
    }

    /**
     * Runs the simulation.
     *
     * @param faultTime simulated time during which faults are started
     * @return violations and convergence problems, each with the seed and the most recent events; empty if there are
     *     none
     */
    public List<String> run(Duration faultTime) {
        fleet.routers().forEach(router -> {
            router.start();
            advance(Duration.ofMillis(random.nextInt(3_000)));
        });
        advance(Duration.ofSeconds(20));
        long end = fleet.nowNanos() + faultTime.toNanos();
        while (fleet.nowNanos() < end && violations.isEmpty()) {
            performRandomAction();
            advance(Duration.ofMillis(200 + random.nextInt(6_000)));
        }
        endFaults();
        awaitConvergence();
        return List.copyOf(violations);
    }

    /**
     * Returns the simulated time since creation.
     *
     * @return simulated time
     */
    public Duration simulatedTime() {
        return Duration.ofNanos(fleet.nowNanos()).minusHours(1);
    }

    /**
     * Returns the number of operator commands for which a result was received.
     *
     * @return number of results
     */
    public long submissionCount() {
        return submissionCount;
    }

    private void advance(Duration duration) {
        long end = fleet.nowNanos() + duration.toNanos();
        while (fleet.nowNanos() < end && violations.isEmpty()) {
            faultEndTimers.advance(fleet.nowNanos());
            fleet.step();
            checker.checkInvariants();
        }
    }

    private void performRandomAction() {
        SimulatedRouter router =
                fleet.routers().get(random.nextInt(fleet.routers().size()));
        SimulatedFaults faults = fleet.faults();
        int action = random.nextInt(ACTION_COUNT);
        recordAction("action " + action + " " + router.id());
        switch (action) {
            case 0 ->
                injectTemporarily(
                        () -> faults.setPartitionedFromStore(router.id(), true),
                        () -> faults.setPartitionedFromStore(router.id(), false));
            case 1 ->
                injectTemporarily(
                        () -> faults.setPartitionedFromPeers(router.id(), true),
                        () -> faults.setPartitionedFromPeers(router.id(), false));
            case 2 ->
                injectTemporarily(
                        () -> {
                            faults.setPartitionedFromPeers(router.id(), true);
                            faults.setPartitionedFromStore(router.id(), true);
                        },
                        () -> {
                            faults.setPartitionedFromPeers(router.id(), false);
                            faults.setPartitionedFromStore(router.id(), false);
                        });
            case 3 -> injectTemporarily(router::pause, router::resume);
            case 4 -> injectTemporarily(router::crash, router::start);
            case 5 -> {
                router.crash();
                router.start();
            }
            case 6 -> injectTemporarily(() -> faults.setStoreDown(true), () -> faults.setStoreDown(false));
            case 7 -> injectTemporarily(() -> faults.setStoreSlow(true), () -> faults.setStoreSlow(false));
            case 8 ->
                injectTemporarily(() -> faults.setLostResponseFraction(0.5), () -> faults.setLostResponseFraction(0));
            case 9 -> injectTemporarily(() -> faults.setLateWriteFraction(0.5), () -> faults.setLateWriteFraction(0));
            case 10 -> changeZone(router);
            case 11 -> changeServer(router);
            default -> injectTemporarily(router::shutDown, router::start);
        }
    }

    private void changeZone(SimulatedRouter router) {
        if (router.isActive()) {
            AdministrativeState state = random.nextBoolean() ? AdministrativeState.LEAVING : AdministrativeState.IN_SERVICE;
            router.control()
                    .submitter()
                    .changeZone(SimulatedFleet.zoneName(random.nextInt(2)), state, this::handleSubmitResult);
        }
    }

    private void changeServer(SimulatedRouter router) {
        if (router.isActive()) {
            AdministrativeState state = random.nextBoolean() ? AdministrativeState.LEAVING : AdministrativeState.IN_SERVICE;
            ServerName server = new ServerName("s" + random.nextInt(8));
            router.control().submitter().changeServer(server, state, this::handleSubmitResult);
        }
    }

    private void handleSubmitResult(SubmitResult result) {
        submissionCount++;
        recordAction("submission " + result);
    }

    private void injectTemporarily(Runnable begin, Runnable end) {
        begin.run();
        long seconds = random.nextBoolean() ? 1 + random.nextInt(8) : 5 + random.nextInt(40);
        faultEndTimers.scheduleOnce("end of a fault", Duration.ofSeconds(seconds), end);
    }

    private void endFaults() {
        recordAction("all faults ended");
        while (faultEndTimers.nextDueNanos() != Long.MAX_VALUE) {
            faultEndTimers.advance(faultEndTimers.nextDueNanos());
        }
        fleet.faults().clearAll();
        fleet.routers().forEach(router -> {
            router.resume();
            if (!router.isStopping()) {
                router.start();
            }
        });
    }

    private void awaitConvergence() {
        long deadline = fleet.nowNanos() + CONVERGENCE_TIMEOUT.toNanos();
        List<String> problems = List.of("not checked");
        while (!problems.isEmpty() && fleet.nowNanos() < deadline && violations.isEmpty()) {
            // Restarts routers whose graceful shutdown has completed in the meantime.
            fleet.routers().forEach(SimulatedRouter::start);
            advance(Duration.ofSeconds(1));
            problems = checker.convergenceProblems();
        }
        if (violations.isEmpty() && fleet.routerMonitor().total() > 0) {
            violations.add(describe(fleet.routerMonitor().total() + " violations detected by the routers"));
        }
        if (violations.isEmpty() && !problems.isEmpty()) {
            violations.add(describe("not converged " + CONVERGENCE_TIMEOUT.toSeconds()
                    + " s after the end of the last fault: " + problems));
        }
    }

    private void recordAction(String action) {
        actionLog.add(Duration.ofNanos(fleet.nowNanos()).toMillis() + " " + action);
    }

    private void handleViolation(TimelineEvent event) {
        violations.add(describe(event.fields().toString()));
    }

    private String describe(String problem) {
        List<String> events = fleet.events();
        return "seed " + seed + ": at " + Duration.ofNanos(fleet.nowNanos()).toMillis() + " ms " + problem
                + "\nlatest actions:\n"
                + String.join("\n", actionLog.subList(Math.max(0, actionLog.size() - 25), actionLog.size()))
                + "\nlatest events:\n"
                + String.join("\n", events.subList(Math.max(0, events.size() - 60), events.size()));
    }
}
