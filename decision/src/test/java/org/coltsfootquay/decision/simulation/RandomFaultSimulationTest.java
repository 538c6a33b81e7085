package org.coltsfootquay.decision.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/** Guards against interleavings of faults that violate an invariant or prevent the fleet from converging. */
final class RandomFaultSimulationTest {

    @Property(seed = "390", tries = 30, shrinking = ShrinkingMode.OFF)
    void invariantsHoldAndFleetConverges(@ForAll long seed, @ForAll @IntRange(min = 3, max = 6) int routers) {
        assertEquals(List.of(), new RandomFaultSimulation(seed, routers).run(Duration.ofMinutes(3)));
    }

    /**
     * Regression test for a fault found in a soak run: a router that read the rows before the other routers of its
     * region joined treated itself as the only router and kept the whole limit of its servers while another router
     * claimed half of it.
     */
    @Example
    void routerThatKnowsPeersDoesNotTreatItselfAsTheOnlyRouter() {
        long seed = 7_718_374;
        int routers = 5;
        assertEquals(List.of(), new RandomFaultSimulation(seed, routers).run(Duration.ofMinutes(5)));
    }
}
