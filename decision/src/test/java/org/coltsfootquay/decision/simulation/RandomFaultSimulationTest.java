package org.coltsfootquay.decision.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/** Guards against interleavings of faults that break an invariant or keep the fleet from settling. */
final class RandomFaultSimulationTest {

    @Property(seed = "390", tries = 30, shrinking = ShrinkingMode.OFF)
    void invariantsHoldAndFleetSettles(@ForAll long seed, @ForAll @IntRange(min = 3, max = 6) int routers) {
        assertEquals(List.of(), new RandomFaultSimulation(seed, routers).run(Duration.ofMinutes(3)));
    }

    /**
     * Found by a soak: a router that read the rows before the others of its region joined took itself for the only one
     * and kept the whole of its servers while another claimed a half.
     */
    @Example
    void routerThatHeardOfOthersDoesNotTakeItselfForTheOnlyOne() {
        long seed = 7_718_374;
        int routers = 5;
        assertEquals(List.of(), new RandomFaultSimulation(seed, routers).run(Duration.ofMinutes(5)));
    }
}
