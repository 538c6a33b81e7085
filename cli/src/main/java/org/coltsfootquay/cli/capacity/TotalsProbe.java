package org.coltsfootquay.cli.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.cli.measure.ControlMeter;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.fairness.FleetTotals;
import org.coltsfootquay.decision.fairness.ServiceTotals.OwnerLoad;
import org.coltsfootquay.decision.fairness.AggregationNode;
import org.coltsfootquay.decision.fairness.WorkspaceUsage;

/** Measures bytes and processor time of the aggregation tree of one region over routers and backlogged workspaces. */
final class TotalsProbe {

    private static final long STEP_NANOS = 250_000_000L;
    private static final int WARM_UP_STEPS = 40;
    private static final int STEPS = 240;
    private static final double STEPS_PER_SECOND = 4;
    private static final int TARGET_BACKLOGGED = 29;

    /** Half of the 390 routers: the tree is one of a region, and there are two regions. */
    private static final double TARGET_ROUTERS = 195;

    private static final int WORKSPACES_PER_ROUTER = 4;

    private TotalsProbe() {}

    /** Bytes a second of the busiest and of the mean router, and processor time of the mean router. */
    private record Cost(double busiestBytes, double meanBytes, double cpuShare) {}

    static List<Slope> measure() {
        List<Slope.Point> busiest = new ArrayList<>();
        List<Slope.Point> mean = new ArrayList<>();
        List<Slope.Point> cpu = new ArrayList<>();
        run(16, TARGET_BACKLOGGED);
        for (int routers : new int[] {4, 16, 64, 256}) {
            Cost cost = run(routers, TARGET_BACKLOGGED);
            busiest.add(new Slope.Point(routers, cost.busiestBytes));
            mean.add(new Slope.Point(routers, cost.meanBytes));
            cpu.add(new Slope.Point(routers, 100 * cost.cpuShare));
        }
        List<Slope.Point> byBacklog = new ArrayList<>();
        for (int backlogged : new int[] {4, 16, 64, 256}) {
            byBacklog.add(new Slope.Point(backlogged, run(64, backlogged).busiestBytes));
        }
        String size = "routers of a region (29 backlogged)";
        return List.of(
                new Slope("totals, busiest router", size, "bytes/s", busiest, TARGET_ROUTERS),
                new Slope("totals, mean router", size, "bytes/s", mean, TARGET_ROUTERS),
                new Slope("totals, mean router", size, "% of a core", cpu, TARGET_ROUTERS),
                new Slope(
                        "totals, busiest router",
                        "backlogged workspaces (64 routers)",
                        "bytes/s",
                        byBacklog,
                        TARGET_BACKLOGGED));
    }

    private static Cost run(int count, int backlogged) {
        List<RouterId> members = new ArrayList<>();
        Map<RouterId, AggregationNode> nodes = new HashMap<>();
        Map<RouterId, ControlMeter> meters = new HashMap<>();
        for (int i = 0; i < count; i++) {
            RouterId id = new RouterId("router-" + i);
            members.add(id);
            nodes.put(id, new AggregationNode(id, 1));
            meters.put(id, new ControlMeter());
        }
        nodes.values().forEach(node -> node.setMembers(members, 0));
        for (int step = 0; step < WARM_UP_STEPS + STEPS; step++) {
            if (step == WARM_UP_STEPS) {
                meters.values().forEach(ControlMeter::reset);
            }
            long now = step * STEP_NANOS;
            for (int i = count - 1; i >= 0; i--) {
                step(members.get(i), i, nodes, meters, backlogged, now);
            }
        }
        double seconds = STEPS / STEPS_PER_SECOND;
        return new Cost(
                meters.values().stream().mapToLong(ControlMeter::bytes).max().orElse(0) / seconds,
                meters.values().stream()
                                .mapToLong(ControlMeter::bytes)
                                .average()
                                .orElse(0)
                        / seconds,
                meters.values().stream()
                                .mapToLong(ControlMeter::cpuNanos)
                                .average()
                                .orElse(0)
                        / 1e9
                        / seconds);
    }

    private static void step(
            RouterId id,
            int index,
            Map<RouterId, AggregationNode> nodes,
            Map<RouterId, ControlMeter> meters,
            int backlogged,
            long now) {
        AggregationNode node = nodes.get(id);
        if (!node.isDue(now)) {
            return;
        }
        ControlMeter meter = meters.get(id);
        ServiceName service = new ServiceName("model-" + index % 7);
        List<WorkspaceUsage> usage = new ArrayList<>();
        for (int i = 0; i < WORKSPACES_PER_ROUTER; i++) {
            usage.add(new WorkspaceUsage(
                    new WorkspaceId("workspace-" + (index * WORKSPACES_PER_ROUTER + i) % backlogged),
                    service,
                    1_900,
                    true));
        }
        Map<ServiceName, List<OwnerLoad>> loads = Map.of(service, List.of(new OwnerLoad(id, 0, 12, 800)));
        AggregationNode.Output output = meter.timed(() -> {
            node.recordUsage(usage, loads, now);
            return node.tick(now);
        });
        output.parent()
                .ifPresent(parent -> output.report().ifPresent(report -> {
                    meter.sent(report);
                    ControlMeter receiver = meters.get(parent);
                    receiver.sent(report);
                    receiver.timed(() -> {
                        nodes.get(parent).receive(id, report, now);
                        return parent;
                    });
                }));
        deliver(id, output.totals(), nodes, meters, now);
    }

    private static void deliver(
            RouterId from,
            Map<RouterId, FleetTotals> totals,
            Map<RouterId, AggregationNode> nodes,
            Map<RouterId, ControlMeter> meters,
            long now) {
        totals.forEach((child, message) -> {
            meters.get(from).sent(message);
            ControlMeter receiver = meters.get(child);
            receiver.sent(message);
            deliver(child, receiver.timed(() -> nodes.get(child).receive(from, message, now)), nodes, meters, now);
        });
    }
}
