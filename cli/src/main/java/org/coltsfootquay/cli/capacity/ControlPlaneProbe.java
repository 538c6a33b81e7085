package org.coltsfootquay.cli.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootquay.decision.simulation.SimulatedFleet;
import org.coltsfootquay.decision.simulation.SimulatedRouter;

/**
 * Measures processor time and memory of leases, membership, ownership and configuration over routers.
 *
 * <p>The figures include the in-memory store and the driver, so they are upper bounds.
 */
final class ControlPlaneProbe {

    private static final int SERVERS_PER_ROUTER = 4;
    private static final Duration SETTLE = Duration.ofSeconds(20);
    private static final Duration MEASURE = Duration.ofSeconds(30);
    private static final double TARGET_ROUTERS = 390;
    private static final double BYTES_PER_MEBIBYTE = 1 << 20;

    private ControlPlaneProbe() {}

    static List<Slope> measure() {
        List<Slope.Point> cpu = new ArrayList<>();
        List<Slope.Point> memory = new ArrayList<>();
        run(4, new ArrayList<>(), new ArrayList<>());
        for (int routers : new int[] {4, 16, 64, 128}) {
            run(routers, cpu, memory);
        }
        return List.of(
                new Slope("leases, members, owners", "routers (4 servers each)", "% of a core", cpu, TARGET_ROUTERS),
                new Slope("leases, members, owners", "routers (4 servers each)", "MiB", memory, TARGET_ROUTERS));
    }

    private static void run(int routers, List<Slope.Point> cpu, List<Slope.Point> memory) {
        double before = MemoryUtils.usedBytes();
        SimulatedFleet fleet = new SimulatedFleet(1, routers, routers * SERVERS_PER_ROUTER);
        fleet.routers().forEach(SimulatedRouter::start);
        advance(fleet, SETTLE);
        double used = MemoryUtils.usedBytes() - before;
        long begin = System.nanoTime();
        advance(fleet, MEASURE);
        double seconds = (System.nanoTime() - begin) / 1e9;
        cpu.add(new Slope.Point(routers, 100 * seconds / MEASURE.toSeconds() / routers));
        memory.add(new Slope.Point(routers, used / routers / BYTES_PER_MEBIBYTE));
    }

    private static void advance(SimulatedFleet fleet, Duration time) {
        long end = fleet.nowNanos() + time.toNanos();
        while (fleet.nowNanos() < end) {
            fleet.step();
        }
    }
}
