package org.coltsfootquay.router.owner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.fairness.ServiceTotals.OwnerLoad;
import org.junit.jupiter.api.Test;

class ProbePlannerTest {

    private static final ServiceName SERVICE = new ServiceName("lm");
    private static final RouterId SELF = new RouterId("self");
    private static final RouterId LOADED = new RouterId("loaded");
    private static final RouterId FREE = new RouterId("free");
    private static final OwnerLoad IDLE = new OwnerLoad(SELF, 3, 0, 0);
    private static final OwnerLoad FULL = new OwnerLoad(SELF, 0, 5, 100);
    private static final long MILLI = 1_000_000;

    private List<RouterId> loaded = List.of(LOADED);

    private final ProbePlanner planner = new ProbePlanner(
            new ProbeTargets() {
                @Override
                public List<RouterId> ownersWithQueue(ServiceName service) {
                    return loaded;
                }

                @Override
                public List<RouterId> ownersWithFreeSlots(ServiceName service) {
                    return List.of(FREE);
                }

                @Override
                public List<RouterId> allOwners(ServiceName service) {
                    return List.of(LOADED, FREE);
                }
            },
            new SplittableRandom(1));

    /** Failure guarded against: capacity that became idle waits for a period before it looks for work. */
    @Test
    void firstProbeFollowsTheChangeAndTheNextOneThePeriod() {
        assertEquals(Optional.of(LOADED), planner.nextTarget(SERVICE, IDLE, 1_000 * MILLI));
        assertEquals(Optional.empty(), planner.nextTarget(SERVICE, IDLE, 1_249 * MILLI));
        assertEquals(Optional.of(LOADED), planner.nextTarget(SERVICE, IDLE, 1_250 * MILLI));
        assertEquals(Optional.of(FREE), planner.nextTarget(SERVICE, FULL, 1_300 * MILLI));
    }

    /** Failure guarded against: an owner that flickers between idle and busy floods the others with probes. */
    @Test
    void changesDoNotMakeProbesMoreFrequentThanTheShortestPeriod() {
        int probes = 0;
        for (int i = 0; i < 100; i++) {
            probes += planner.nextTarget(SERVICE, i % 2 == 0 ? IDLE : FULL, (1_000 + 10L * i) * MILLI)
                            .isPresent()
                    ? 1
                    : 0;
        }
        assertTrue(probes <= 20, probes + " probes in a second");
    }

    /** Failure guarded against: work moves at one batch a period although more waits. */
    @Test
    void usefulAnswerIsFollowedSoon() {
        assertTrue(planner.nextTarget(SERVICE, IDLE, 1_000 * MILLI).isPresent());
        planner.recordReply(SERVICE, 0, 4);
        assertTrue(planner.nextTarget(SERVICE, IDLE, 1_050 * MILLI).isPresent());
        planner.recordReply(SERVICE, 2, 0);
        assertTrue(planner.nextTarget(SERVICE, IDLE, 1_100 * MILLI).isEmpty());
    }

    /** Failure guarded against: an idle fleet spends its control budget on probes. */
    @Test
    void idleOwnerProbesBlindlyOnlyOnceASecond() {
        loaded = List.of();
        int probes = 0;
        for (int i = 0; i < 100; i++) {
            probes += planner.nextTarget(SERVICE, IDLE, (1_000 + 50L * i) * MILLI).isPresent() ? 1 : 0;
        }
        assertEquals(5, probes);
    }
}
