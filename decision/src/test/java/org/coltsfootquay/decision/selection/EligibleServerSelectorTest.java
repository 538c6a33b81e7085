package org.coltsfootquay.decision.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.backend.BackendRegistry;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.limit.ColdStartLimiter;
import org.coltsfootquay.decision.route.ServicePolicy;
import org.junit.jupiter.api.Test;

/** Guards against requests for servers that were tried, leave, are dark, or are cold beyond the shared bound. */
final class EligibleServerSelectorTest {

    private static final ServicePolicy SERVICE =
            new ServicePolicy(new ServiceName("service"), 100, 6.7, Duration.ofSeconds(3), 0);
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final BackendRegistry registry = new BackendRegistry();
    private final ServerHealth health = new ServerHealth();
    private final ServerSelector first = (candidates, prompt) ->
            candidates.stream().findFirst().map(entry -> new SelectedServer(entry, 0, Duration.ZERO, Duration.ZERO));

    @Test
    void triedServerIsNotChosenAgain() {
        register("s1", Duration.ZERO);
        assertTrue(choose(chooser("r1"), Set.of(new ServerName("s1")), 1, 0).isEmpty());
    }

    @Test
    void darkServerIsAvoidedWhileAnotherIsReachable() {
        register("s1", Duration.ZERO);
        register("s2", Duration.ZERO);
        health.recordUnreachable(new ServerName("s1"), 0);
        assertEquals(
                "s2",
                choose(chooser("r1"), Set.of(), 1, 1)
                        .orElseThrow()
                        .entry()
                        .server()
                        .value());
    }

    @Test
    void darkServerIsTriedWhenThereIsNoOther() {
        register("s1", Duration.ZERO);
        health.recordUnreachable(new ServerName("s1"), 0);
        assertTrue(choose(chooser("r1"), Set.of(), 1, 1).isPresent());
    }

    @Test
    void claimFailsForAServerThatBeganToLeave() {
        register("s1", Duration.ZERO);
        BackendEntry chosen =
                choose(chooser("r1"), Set.of(), 1, 0).orElseThrow().entry();
        registry.remove(chosen.server(), 1);
        assertFalse(chooser("r1").tryAcquire(chosen, SERVICE, routers(1), 2));
    }

    /** All routers press on one cold server for its whole cold time; no second may see more than the bound. */
    @Test
    void coldServerNeverGetsMoreThanItsBoundFromAllRoutersTogether() {
        for (int routers : new int[] {1, 7, 8, 15, 77, 300}) {
            BackendRegistry cold = new BackendRegistry();
            cold.put(entry("s1", Duration.ofSeconds(60)), 0);
            List<Long> sent = new ArrayList<>();
            List<EligibleServerSelector> choosers = new ArrayList<>();
            for (RouterId router : routers(routers)) {
                choosers.add(new EligibleServerSelector(cold, new ServerHealth(), new ColdStartLimiter(router), 1.5, 5));
            }
            for (long now = 0; now < 10 * SECOND; now += SECOND / 50) {
                for (EligibleServerSelector chooser : choosers) {
                    if (chooser.tryAcquire(entry("s1", Duration.ZERO), SERVICE, routers(routers), now)) {
                        sent.add(now);
                    }
                }
            }
            double bound = 6.7 * 1.5 + 5;
            for (long from : sent) {
                long inSecond = sent.stream()
                        .filter(at -> at >= from && at < from + SECOND)
                        .count();
                assertTrue(inSecond <= bound, routers + " routers sent " + inSecond);
            }
            assertFalse(sent.isEmpty());
        }
    }

    private EligibleServerSelector chooser(String router) {
        return new EligibleServerSelector(registry, health, new ColdStartLimiter(new RouterId(router)), 1.5, 5);
    }

    private Optional<SelectedServer> choose(EligibleServerSelector chooser, Set<ServerName> tried, int routers, long now) {
        return chooser.select(SERVICE, Prompt.NONE, tried, first, routers(routers), now);
    }

    private void register(String server, Duration coldFor) {
        registry.put(entry(server, coldFor), 0);
    }

    private static List<RouterId> routers(int count) {
        List<RouterId> routers = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            routers.add(new RouterId("r" + i));
        }
        return routers;
    }

    private static BackendEntry entry(String server, Duration coldFor) {
        return new BackendEntry(
                new ServerName(server), SERVICE.name(), "10.0.0.1", 80, new ZoneName("zone"), 4, false, coldFor, 1);
    }
}
