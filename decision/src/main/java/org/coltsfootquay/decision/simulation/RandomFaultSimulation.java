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
 * Run of a simulated fleet with random faults and operators' commands, repeatable by its seed.
 *
 * <p>Each run starts all routers, lets faults begin and end at random times, ends all faults and waits for the fleet to
 * settle. The invariants are checked after each step.
 */
public final class RandomFaultSimulation {

    private static final Duration SETTLE_LIMIT = Duration.ofMinutes(3);
    private static final int ACTIONS = 13;

    private final long seed;
    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private final FleetInvariantChecker checker;
    private final InvariantMonitor monitor;
    private final List<String> violations = new ArrayList<>();
    private final List<String> actions = new ArrayList<>();
    private final DrivenTimerService endings = new DrivenTimerService(0);
    private long submissionCount;

    /**
     * Creates a run.
     *
     * @param seed seed
     * @param routers number of routers
     */
    public RandomFaultSimulation(long seed, int routers) {
        this.seed = seed;
        this.fleet = new SimulatedFleet(seed, routers, 8);
        this.random = new SplittableRandom(seed ^ 0x5deece66dL);
        this.monitor = new InvariantMonitor(this::violated);
        this.checker = new FleetInvariantChecker(fleet, monitor);
    }

    /**
     * Runs.
     *
     * @param faultTime time during which faults begin
     * @return violations and problems, empty when all is well; each line names the seed and the newest events
     */
    public List<String> run(Duration faultTime) {
        fleet.routers().forEach(router -> {
            router.start();
            advance(Duration.ofMillis(random.nextInt(3_000)));
        });
        advance(Duration.ofSeconds(20));
        long end = fleet.nowNanos() + faultTime.toNanos();
        while (fleet.nowNanos() < end && violations.isEmpty()) {
            act();
            advance(Duration.ofMillis(200 + random.nextInt(6_000)));
        }
        endFaults();
        settle();
        return List.copyOf(violations);
    }

    /**
     * Returns the time that the fleet simulated.
     *
     * @return simulated time
     */
    public Duration simulatedTime() {
        return Duration.ofNanos(fleet.nowNanos()).minusHours(1);
    }

    /**
     * Returns the operators' commands that were answered.
     *
     * @return number of answers
     */
    public long submissionCount() {
        return submissionCount;
    }

    private void advance(Duration duration) {
        long end = fleet.nowNanos() + duration.toNanos();
        while (fleet.nowNanos() < end && violations.isEmpty()) {
            endings.advance(fleet.nowNanos());
            fleet.step();
            checker.checkInvariants();
        }
    }

    private void act() {
        SimulatedRouter router =
                fleet.routers().get(random.nextInt(fleet.routers().size()));
        SimulatedFaults faults = fleet.faults();
        int action = random.nextInt(ACTIONS);
        note("action " + action + " " + router.id());
        switch (action) {
            case 0 ->
                forAWhile(() -> faults.setPartitionedFromStore(router.id(), true), () -> faults.setPartitionedFromStore(router.id(), false));
            case 1 ->
                forAWhile(() -> faults.setPartitionedFromPeers(router.id(), true), () -> faults.setPartitionedFromPeers(router.id(), false));
            case 2 ->
                forAWhile(
                        () -> {
                            faults.setPartitionedFromPeers(router.id(), true);
                            faults.setPartitionedFromStore(router.id(), true);
                        },
                        () -> {
                            faults.setPartitionedFromPeers(router.id(), false);
                            faults.setPartitionedFromStore(router.id(), false);
                        });
            case 3 -> forAWhile(router::pause, router::resume);
            case 4 -> forAWhile(router::crash, router::start);
            case 5 -> {
                router.crash();
                router.start();
            }
            case 6 -> forAWhile(() -> faults.setStoreDown(true), () -> faults.setStoreDown(false));
            case 7 -> forAWhile(() -> faults.setStoreSlow(true), () -> faults.setStoreSlow(false));
            case 8 -> forAWhile(() -> faults.setLostResponseFraction(0.5), () -> faults.setLostResponseFraction(0));
            case 9 -> forAWhile(() -> faults.setLateWriteFraction(0.5), () -> faults.setLateWriteFraction(0));
            case 10 -> changeZone(router);
            case 11 -> changeServer(router);
            default -> forAWhile(router::shutDown, router::start);
        }
    }

    private void changeZone(SimulatedRouter router) {
        if (router.isActive()) {
            AdministrativeState state = random.nextBoolean() ? AdministrativeState.LEAVING : AdministrativeState.IN_SERVICE;
            router.control().submitter().changeZone(SimulatedFleet.zoneName(random.nextInt(2)), state, this::answered);
        }
    }

    private void changeServer(SimulatedRouter router) {
        if (router.isActive()) {
            AdministrativeState state = random.nextBoolean() ? AdministrativeState.LEAVING : AdministrativeState.IN_SERVICE;
            ServerName server = new ServerName("s" + random.nextInt(8));
            router.control().submitter().changeServer(server, state, this::answered);
        }
    }

    private void answered(SubmitResult result) {
        submissionCount++;
        note("submission " + result);
    }

    private void forAWhile(Runnable begin, Runnable end) {
        begin.run();
        long seconds = random.nextBoolean() ? 1 + random.nextInt(8) : 5 + random.nextInt(40);
        endings.scheduleOnce("end of a fault", Duration.ofSeconds(seconds), end);
    }

    private void endFaults() {
        note("all faults end");
        while (endings.nextDueNanos() != Long.MAX_VALUE) {
            endings.advance(endings.nextDueNanos());
        }
        fleet.faults().clearAll();
        fleet.routers().forEach(router -> {
            router.resume();
            if (!router.isStopping()) {
                router.start();
            }
        });
    }

    private void settle() {
        long limit = fleet.nowNanos() + SETTLE_LIMIT.toNanos();
        List<String> problems = List.of("not checked");
        while (!problems.isEmpty() && fleet.nowNanos() < limit && violations.isEmpty()) {
            // Routers whose planned stop has ended meanwhile are started again.
            fleet.routers().forEach(SimulatedRouter::start);
            advance(Duration.ofSeconds(1));
            problems = checker.convergenceProblems();
        }
        if (violations.isEmpty() && fleet.routerMonitor().total() > 0) {
            violations.add(explain(fleet.routerMonitor().total() + " violations found by the routers themselves"));
        }
        if (violations.isEmpty() && !problems.isEmpty()) {
            violations.add(explain("not settled " + SETTLE_LIMIT.toSeconds() + " s after the last fault: " + problems));
        }
    }

    private void note(String action) {
        actions.add(Duration.ofNanos(fleet.nowNanos()).toMillis() + " " + action);
    }

    private void violated(TimelineEvent event) {
        violations.add(explain(event.fields().toString()));
    }

    private String explain(String what) {
        List<String> events = fleet.events();
        return "seed " + seed + ": at " + Duration.ofNanos(fleet.nowNanos()).toMillis() + " ms " + what
                + "\nnewest actions:\n"
                + String.join("\n", actions.subList(Math.max(0, actions.size() - 25), actions.size()))
                + "\nnewest events:\n"
                + String.join("\n", events.subList(Math.max(0, events.size() - 60), events.size()));
    }
}
