package org.coltsfootquay.router.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against requests that are routed by a change that a router has not heard of within its bound. */
final class StaleRoutingTest {

    private static final Duration BEACON_PERIOD_OF_A_LARGE_FLEET = Duration.ofSeconds(1);
    private static final int LARGE_FLEET = 95;

    /** Neither the watch nor a beacon told the router of the change, and nothing else asked. */
    @Test
    void requestIsRoutedByAConfigurationOfWhichNothingTellsTheRouter() {
        PropagationRun run = new PropagationRun(1);
        ReplicatingRouter router = isolate(run);
        run.store.put(PropagationRun.OPERATOR, "config", "2");
        run.advance(PropagationRun.MAX_AGE);
        List<Long> versions = new ArrayList<>();
        router.route(() -> versions.add(router.version()));
        run.advance(Duration.ofMillis(200));
        assertEquals(List.of(2L), versions);
    }

    @Test
    void requestIsNotRoutedToAServerOfWhoseRemovalNothingTellsTheRouter() {
        PropagationRun run = new PropagationRun(1);
        ReplicatingRouter router = isolate(run);
        run.store.remove(PropagationRun.SERVERS, "s1");
        run.advance(PropagationRun.MAX_AGE);
        List<Set<String>> servers = new ArrayList<>();
        router.route(() -> servers.add(router.eligible()));
        run.advance(Duration.ofMillis(200));
        assertEquals(List.of(Set.of("s2", "s3", "s4", "s5", "s6")), servers);
    }

    /** Checks must not grow with the fleet: each watch that ends confirms the tables of all routers. */
    @Test
    void largeFleetMakesFewChecksAfterAChange() {
        PropagationRun run = new PropagationRun(1, LARGE_FLEET, BEACON_PERIOD_OF_A_LARGE_FLEET);
        run.advance(Duration.ofSeconds(60));
        int before = checks(run);
        run.store.put(PropagationRun.OPERATOR, "config", "2");
        run.advance(Duration.ofSeconds(60));
        int checks = checks(run) - before;
        assertTrue(checks < LARGE_FLEET / 2, checks + " checks in the minute after a change");
    }

    private static ReplicatingRouter isolate(PropagationRun run) {
        ReplicatingRouter router = run.routers.get(0);
        run.advance(Duration.ofSeconds(4));
        router.port.setDead(true, false);
        router.loseBeacons();
        return router;
    }

    private static int checks(PropagationRun run) {
        return run.routers.stream().mapToInt(router -> router.port.checks()).sum();
    }
}
