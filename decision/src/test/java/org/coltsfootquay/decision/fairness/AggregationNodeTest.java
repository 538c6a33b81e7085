package org.coltsfootquay.decision.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.junit.jupiter.api.Test;

/** Guards against lost or doubled increments, credit for idle time, and a tree that stops with its root. */
final class AggregationNodeTest {

    private static final ServiceName SERVICE = new ServiceName("lm");

    private final Map<RouterId, AggregationNode> nodes = new HashMap<>();
    private final List<RouterId> members = new ArrayList<>();
    private final List<Runnable> inFlight = new ArrayList<>();
    private final Random random = new Random(7);
    private long totalsLostNanos;
    private long now = Duration.ofHours(1).toNanos();
    private double lossRate;
    private double repeatRate;

    @Property(tries = 20)
    void lostAndRepeatedMessagesNeitherLoseNorDoubleUsage(@ForAll @IntRange(min = 0, max = 10_000) int seed) {
        AggregationNodeTest fleet = new AggregationNodeTest();
        fleet.random.setSeed(seed);
        fleet.start(40);
        fleet.settle();
        fleet.lossRate = 0.3;
        fleet.repeatRate = 0.3;
        Map<String, Long> expected = new HashMap<>();
        for (int step = 0; step < 200; step++) {
            for (RouterId member : fleet.members) {
                long unitsOfA = fleet.random.nextInt(200) - 20L;
                long unitsOfB = fleet.random.nextInt(200) - 20L;
                expected.merge("a", unitsOfA, Long::sum);
                expected.merge("b", unitsOfB, Long::sum);
                fleet.charge(member, unitsOfA, unitsOfB);
            }
            fleet.step();
        }
        fleet.lossRate = 0;
        fleet.settle();
        long difference = expected.get("a") - expected.get("b");
        assertNear(difference, fleet.offset("r0", "a") - fleet.offset("r0", "b"), 1);
    }

    @Test
    void totalsReachEveryRouterWithTheirAge() {
        start(40);
        for (int step = 0; step < 60; step++) {
            charge(members.get(39), "a", 10);
            charge(members.get(38), "b", 0);
            step();
        }
        ServiceTotals.Totals totals =
                nodes.get(members.get(20)).serviceTotals().byService().get(SERVICE);
        assertEquals(2, totals.offsets().size());
        long ageMillis = (now - totals.asOfNanos()) / 1_000_000;
        assertTrue(ageMillis > 0 && ageMillis < 3_000, "age in ms: " + ageMillis);
        assertTrue(totals.fleetRate() > 0);
    }

    @Test
    void raisesTotalOfWorkspaceThatBecomesBacklogged() {
        start(2);
        for (int step = 0; step < 40; step++) {
            charge(members.get(1), "busy", 100);
            charge(members.get(1), "other", 50);
            step();
        }
        charge(members.get(0), "new", 0);
        for (int step = 0; step < 20; step++) {
            charge(members.get(0), "new", 0);
            step();
        }
        assertEquals(offset("r0", "other"), offset("r0", "new"));
    }

    @Test
    void nextInRankReplacesUnreachableRootAndKeepsOffsets() {
        start(5);
        for (int step = 0; step < 40; step++) {
            charge(members.get(3), "a", 100);
            charge(members.get(4), "b", 10);
            step();
        }
        nodes.remove(members.get(0));
        for (int step = 0; step < 60; step++) {
            charge(members.get(3), "a", 0);
            charge(members.get(4), "b", 0);
            step();
        }
        assertTrue(nodes.get(members.get(1)).isRoot());
        assertNear(40 * 90, offset("r4", "a") - offset("r4", "b"), 300);
    }

    @Test
    void actingRootReportsItsUsageWhenTheRootIsReachableAgain() {
        start(3);
        for (int step = 0; step < 20; step++) {
            charge(members.get(1), "a", 1);
            charge(members.get(2), "b", 1);
            step();
        }
        AggregationNode former = nodes.remove(members.get(0));
        for (int step = 0; step < 60; step++) {
            charge(members.get(1), "a", 100);
            charge(members.get(2), "b", 0);
            step();
        }
        nodes.put(members.get(0), former);
        for (int step = 0; step < 200; step++) {
            charge(members.get(1), "a", 0);
            charge(members.get(2), "b", 0);
            step();
        }
        assertFalse(nodes.get(members.get(1)).isRoot());
        assertNear(6_000, offset("r0", "a") - offset("r0", "b"), 400);
    }

    @Test
    void regionsExchangeUsageAfterPartition() {
        start(2);
        RouterId west = members.get(0);
        RouterId east = members.get(1);
        nodes.get(west).setMembers(List.of(west), now);
        nodes.get(east).setMembers(List.of(east), now);
        nodes.get(west).setOtherRoots(Set.of(east));
        nodes.get(east).setOtherRoots(Set.of(west));
        lossRate = 1;
        for (int step = 0; step < 40; step++) {
            charge(west, 100, 0);
            charge(east, 0, 40);
            step();
        }
        lossRate = 0;
        for (int step = 0; step < 40; step++) {
            charge(west, 0, 0);
            charge(east, 0, 0);
            step();
        }
        assertNear(2_400, offset("r0", "a") - offset("r0", "b"), 200);
        assertNear(offset("r0", "a"), offset("r1", "a"), 1);
    }

    private void start(int count) {
        for (int i = 0; i < count; i++) {
            RouterId id = new RouterId("r" + i);
            members.add(id);
            nodes.put(id, new AggregationNode(id, 1));
        }
        nodes.values().forEach(node -> node.setMembers(members, now));
    }

    private void charge(RouterId router, String workspace, long units) {
        AggregationNode node = nodes.get(router);
        if (node != null) {
            node.recordUsage(List.of(new WorkspaceUsage(new WorkspaceId(workspace), SERVICE, units, true)), Map.of(), now);
        }
    }

    private void charge(RouterId router, long unitsOfA, long unitsOfB) {
        nodes.get(router)
                .recordUsage(
                        List.of(
                                new WorkspaceUsage(new WorkspaceId("a"), SERVICE, unitsOfA, true),
                                new WorkspaceUsage(new WorkspaceId("b"), SERVICE, unitsOfB, true)),
                        Map.of(),
                        now);
    }

    /** Lets 100 ms pass; messages arrive in the next step. */
    private void step() {
        now += Duration.ofMillis(100).toNanos();
        List<Runnable> arriving = List.copyOf(inFlight);
        inFlight.clear();
        arriving.forEach(Runnable::run);
        for (RouterId id : members) {
            AggregationNode node = nodes.get(id);
            if (node != null) {
                AggregationNode.Output output = node.tick(now);
                output.report().ifPresent(report -> send(output.parent().orElseThrow(), id, report));
                output.regionReports().forEach((to, report) -> send(to, id, report));
                sendTotals(id, output.totals());
            }
        }
    }

    private void sendTotals(RouterId from, Map<RouterId, FleetTotals> byChild) {
        byChild.forEach((to, totals) -> {
            // Lost totals are missing in the whole subtree; losses in a row would look like a dead parent, which is
            // another test's subject.
            boolean keep = now - totalsLostNanos < Duration.ofSeconds(1).toNanos();
            double rate = lossRate;
            lossRate = keep ? 0 : lossRate;
            if (!transmit(to, target -> sendTotals(to, target.receive(from, totals, now)))) {
                totalsLostNanos = now;
            }
            lossRate = rate;
        });
    }

    private void send(RouterId to, RouterId from, UsageReport report) {
        transmit(to, target -> target.receive(from, report, now));
    }

    private boolean transmit(RouterId to, java.util.function.Consumer<AggregationNode> delivery) {
        Runnable arrival = () -> {
            AggregationNode target = nodes.get(to);
            if (target != null) {
                delivery.accept(target);
            }
        };
        boolean arrives = random.nextDouble() >= lossRate;
        if (arrives) {
            inFlight.add(arrival);
        }
        if (random.nextDouble() < repeatRate) {
            inFlight.add(arrival);
        }
        return arrives;
    }

    /** Lets all service arrive at the root while both workspaces stay backlogged everywhere. */
    private void settle() {
        for (int step = 0; step < 100; step++) {
            members.forEach(member -> charge(member, 0, 0));
            step();
        }
    }

    private static void assertNear(long expected, long actual, long tolerance) {
        assertTrue(Math.abs(expected - actual) <= tolerance, "expected " + expected + " but was " + actual);
    }

    private long offset(String router, String workspace) {
        return nodes.get(new RouterId(router)).totals().offsets().stream()
                .filter(offset -> offset.workspace().value().equals(workspace))
                .mapToLong(FleetTotals.Offset::units)
                .findFirst()
                .orElseThrow();
    }
}
