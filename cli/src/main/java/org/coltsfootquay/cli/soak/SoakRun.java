package org.coltsfootquay.cli.soak;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.coltsfootquay.decision.simulation.RandomFaultSimulation;

/**
 * Repeats random fault runs with increasing seeds until a time limit or the first violation.
 *
 * <p>Each run uses the next seed and 3 to 6 routers, so that a violation can be repeated alone by its seed.
 */
public final class SoakRun {

    private static final Duration FAULT_TIME = Duration.ofMinutes(5);
    private static final Duration REPORT_PERIOD = Duration.ofMinutes(1);
    private static final int FEWEST_ROUTERS = 3;
    private static final int ROUTER_COUNTS = 4;

    private final long firstSeed;
    private final Duration limit;
    private final LongSupplier clock;
    private final Consumer<String> progress;

    /**
     * Creates a run.
     *
     * @param firstSeed seed of the first run; run {@code n} uses {@code firstSeed + n}
     * @param limit time after which no further run begins
     * @param clock monotonic clock in nanoseconds
     * @param progress receiver of a line of progress each minute
     */
    public SoakRun(long firstSeed, Duration limit, LongSupplier clock, Consumer<String> progress) {
        this.firstSeed = firstSeed;
        this.limit = limit;
        this.clock = clock;
        this.progress = progress;
    }

    /**
     * Outcome of the whole soak.
     *
     * @param runs runs that were made
     * @param simulated simulated time of all fleets together
     * @param violation explanation of the first violation, or empty
     */
    public record Outcome(long runs, Duration simulated, Optional<String> violation) {}

    /**
     * Runs.
     *
     * @return outcome
     */
    public Outcome run() {
        long start = clock.getAsLong();
        long reported = start;
        long runs = 0;
        Duration simulated = Duration.ZERO;
        while (clock.getAsLong() - start < limit.toNanos()) {
            RandomFaultSimulation run = new RandomFaultSimulation(firstSeed + runs, routers(firstSeed + runs));
            List<String> violations = run.run(FAULT_TIME);
            runs++;
            simulated = simulated.plus(run.simulatedTime());
            if (!violations.isEmpty()) {
                return new Outcome(runs, simulated, Optional.of(violations.get(0)));
            }
            if (clock.getAsLong() - reported >= REPORT_PERIOD.toNanos()) {
                reported = clock.getAsLong();
                progress.accept("soak: " + runs + " runs, " + simulated.toHours() + " h simulated, no violation");
            }
        }
        return new Outcome(runs, simulated, Optional.empty());
    }

    /** Derives the number of routers from the seed, so that a seed alone repeats a run. */
    private static int routers(long seed) {
        return FEWEST_ROUTERS + (int) Math.floorMod(seed, (long) ROUTER_COUNTS);
    }
}
