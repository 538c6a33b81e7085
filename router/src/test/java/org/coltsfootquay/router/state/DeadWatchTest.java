package org.coltsfootquay.router.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.peer.LagMonitor;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a router of a large fleet that waits for its dead watch at each change, and against excess copies. */
final class DeadWatchTest {

    private static final int ROUTERS = 95;
    private static final Duration BEACON_PERIOD = Duration.ofSeconds(1);
    private static final Duration CHANGE_INTERVAL = Duration.ofMillis(300);

    /** Time after which all routers have the last change and watch again. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(4);

    private final PropagationRun run = new PropagationRun(1, ROUTERS, BEACON_PERIOD);
    private final ReplicatingRouter router = run.routers.get(0);

    /** Time at which most routers have a version. */
    private final Map<Long, Long> commonNanos = new HashMap<>();

    private long version = 1;
    private long nowNanos;
    private long maxLagNanos;

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void routerThatHasCopiedAChangeDoesNotWaitForItsDeadWatchAgain(boolean readsDead) {
        advance(SETTLING_TIME);
        router.port.setDead(true, readsDead);
        change(1);
        advance(SETTLING_TIME);
        assertEquals(version, router.version());
        maxLagNanos = 0;
        change(60);
        advance(SETTLING_TIME);
        assertEquals(version, router.version());
        assertTrue(
                maxLagNanos < LagMonitor.GRACE_PERIOD.toNanos(),
                Duration.ofNanos(maxLagNanos).toMillis() + " ms behind most routers");
    }

    @Test
    void routersWhoseWatchesDeliverChangesAskForNoCopies() {
        advance(SETTLING_TIME);
        int calls = calls();
        change(1);
        advance(SETTLING_TIME);
        assertEquals(ROUTERS, calls() - calls);
        for (int i = 0; i < 10; i++) {
            run.store.put(PropagationRun.OPERATOR, "config", Long.toString(++version));
            run.register("s" + (10 + i));
            advance(PropagationRun.STEP);
        }
        advance(SETTLING_TIME);
        // One watch of each table for the first change, and one for the others together.
        assertEquals(5 * ROUTERS, calls() - calls);
        change(10);
        advance(SETTLING_TIME);
        assertEquals(0, requestedCopies());
    }

    @Test
    void routersAskForNoCopiesOnceTheirWatchesDeliverChangesAgain() {
        advance(SETTLING_TIME);
        run.routers.subList(1, ROUTERS).forEach(other -> other.port.setDead(true, false));
        change(10);
        advance(SETTLING_TIME);
        run.routers.forEach(other -> other.port.setDead(false, false));
        change(1);
        advance(SETTLING_TIME);
        int copies = requestedCopies();
        change(10);
        advance(SETTLING_TIME);
        assertEquals(copies, requestedCopies());
    }

    private int calls() {
        return run.routers.stream().mapToInt(other -> other.port.calls()).sum();
    }

    private int requestedCopies() {
        return run.routers.stream().mapToInt(ReplicatingRouter::requestedCopies).sum();
    }

    private void change(int times) {
        for (int i = 0; i < times; i++) {
            run.store.put(PropagationRun.OPERATOR, "config", Long.toString(++version));
            advance(CHANGE_INTERVAL);
        }
    }

    private void advance(Duration time) {
        for (long end = nowNanos + time.toNanos(); nowNanos < end; nowNanos += PropagationRun.STEP.toNanos()) {
            run.advance(PropagationRun.STEP);
            long common = run.routers.stream()
                    .mapToLong(ReplicatingRouter::version)
                    .sorted()
                    .skip(ROUTERS / 2)
                    .findFirst()
                    .orElseThrow();
            commonNanos.putIfAbsent(common, nowNanos);
            for (long missing = router.version() + 1; missing <= common; missing++) {
                long sinceNanos = commonNanos.getOrDefault(missing, nowNanos);
                maxLagNanos = Math.max(maxLagNanos, nowNanos - sinceNanos);
            }
        }
    }
}
