package org.coltsfootquay.decision.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.latency.EngineLatencyModel;
import org.coltsfootquay.decision.latency.PrefillBacklog;
import org.coltsfootquay.decision.selection.LoadTracker;
import org.coltsfootquay.decision.selection.Prompt;
import org.coltsfootquay.decision.selection.PromptCacheView;
import org.coltsfootquay.decision.selection.PromptLocalitySelector;
import org.coltsfootquay.decision.selection.PromptPart;
import org.coltsfootquay.decision.selection.SelectedServer;
import org.coltsfootquay.decision.selection.SelectionRequest;
import org.coltsfootquay.decision.selection.ServerHealth;
import org.coltsfootquay.decision.selection.ServerLoad;
import org.junit.jupiter.api.Test;

/**
 * Guards against workspaces below their share that are refused as often as those above it while requests wait for slots
 * of engines and not for prefill.
 */
final class SlotShareTest {

    private static final ServiceName SERVICE = new ServiceName("service");
    private static final ZoneName ZONE = new ZoneName("zone");
    private static final int ROUTERS = 8;
    private static final int ENGINES = 6;
    private static final int SLOTS = 64;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int STEPS_PER_SECOND = 100;
    private static final int SECONDS = 24;

    /** Steps between two load reports of a router; as in the product. */
    private static final int LOAD_REPORT_STEPS = 20;

    /** First seconds, in which slots, queues and counters fill. */
    private static final int WARM_UP_SECONDS = 12;

    private static final Duration RUN_TIME = Duration.ofSeconds(6);
    private static final Duration TARGET = Duration.ofMillis(800);
    private static final Duration DEADLINE = Duration.ofSeconds(12);

    /** Part of the deadline that the expected latency may take, as in the product. */
    private static final double MAX_EXPECTED_TIME_SHARE = 0.8;

    private static final int PROMPT_TOKENS = 300;
    private static final int OUTPUT_TOKENS = 250;
    private static final double REQUEST_TOKENS = PROMPT_TOKENS + 2.0 * OUTPUT_TOKENS;
    /** Operator's bound: at least half of what a workspace requests, if others get more. */
    private static final double MIN_SERVED = 0.5;

    @Test
    void workspacesBelowTheirShareAreServedInAnOverloadByOne() {
        assertLightWorkspacesAreServed(1, 4);
    }

    @Test
    void workspacesBelowTheirShareAreServedInAnOverloadByMany() {
        assertLightWorkspacesAreServed(6, 0.7);
    }

    /** Of two workspaces above their share, the one that requests three times as much got three times as much. */
    @Test
    void workspacesAboveTheirShareGetTheSame() {
        for (long seed = 1; seed <= 3; seed++) {
            Fleet fleet = new Fleet(seed);
            fleet.add("heavier", 3);
            fleet.add("heavy", 1);
            fleet.run();
            double ratio = fleet.begun("heavy") / (double) fleet.begun("heavier");
            assertTrue(ratio >= MIN_SERVED, "seed " + seed + ": ratio of tokens " + ratio);
        }
    }

    /** Shares must not be enforced while slots are free, which would leave engines idle. */
    @Test
    void workspaceAboveItsShareIsServedWhileSlotsAreFree() {
        Fleet fleet = new Fleet(1);
        fleet.add("heavy", 0.7);
        fleet.add("light", 0.05);
        fleet.run();
        assertTrue(fleet.begunShare("heavy") > 0.97, "served: " + fleet.begunShare("heavy"));
    }

    /** Slots must stay in use when workspaces above their share are refused. */
    @Test
    void slotsAreUsedInAnOverload() {
        Fleet fleet = new Fleet(1);
        fleet.add("heavy", 4);
        fleet.add("light", 0.05);
        fleet.run();
        assertTrue(fleet.utilization() > 0.9, "utilization: " + fleet.utilization());
    }

    private static void assertLightWorkspacesAreServed(int heavy, double load) {
        for (long seed = 1; seed <= 3; seed++) {
            Fleet fleet = new Fleet(seed);
            for (int i = 0; i < heavy; i++) {
                fleet.add("heavy-" + i, load);
            }
            for (int i = 0; i < 10; i++) {
                fleet.add("light-" + i, 0.02);
            }
            fleet.run();
            for (int i = 0; i < 10; i++) {
                double served = fleet.begunShare("light-" + i);
                assertTrue(served >= MIN_SERVED, "seed " + seed + ": light-" + i + " was served " + served);
            }
        }
    }

    /** Routers before engines whose slots are the bottleneck. */
    private static final class Fleet {

        private final Random random;
        private final List<Router> routers = new ArrayList<>();
        private final Map<ServerName, Engine> engines = new TreeMap<>(Comparator.comparing(ServerName::value));
        private final Map<WorkspaceId, Double> requestsPerStep =
                new TreeMap<>(Comparator.comparing(WorkspaceId::value));
        private final Map<WorkspaceId, Integer> requested = new HashMap<>();
        private final Map<WorkspaceId, Integer> begun = new HashMap<>();
        private long usedSlotSteps;
        private int step;

        private Fleet(long seed) {
            random = new Random(seed);
            List<BackendEntry> entries = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                ServerName name = new ServerName("engine-" + i);
                entries.add(
                        new BackendEntry(name, SERVICE, "127.0.0.1", 9000 + i, ZONE, SLOTS, false, Duration.ZERO, 0));
                engines.put(name, new Engine());
            }
            for (int i = 0; i < ROUTERS; i++) {
                routers.add(new Router(new RouterId("router-" + i), List.copyOf(entries)));
            }
        }

        /** Adds a workspace that requests a multiple of what all slots serve. */
        private void add(String workspace, double load) {
            double capacityPerStep = (double) ENGINES * SLOTS * STEP.toNanos() / RUN_TIME.toNanos();
            requestsPerStep.put(new WorkspaceId(workspace), load * capacityPerStep);
        }

        private int begun(String workspace) {
            return begun.getOrDefault(new WorkspaceId(workspace), 0);
        }

        private double begunShare(String workspace) {
            return begun(workspace) / (double) requested.get(new WorkspaceId(workspace));
        }

        private double utilization() {
            long steps = (long) (SECONDS - WARM_UP_SECONDS) * STEPS_PER_SECOND;
            return usedSlotSteps / (double) (steps * ENGINES * SLOTS);
        }

        private void run() {
            for (step = 0; step < SECONDS * STEPS_PER_SECOND; step++) {
                long now = now();
                engines.forEach((name, engine) -> engine.advance(this, name));
                for (int i = 0; i < ROUTERS; i++) {
                    if ((step + i * LOAD_REPORT_STEPS / ROUTERS) % LOAD_REPORT_STEPS == 0) {
                        routers.get(i).report(routers, now);
                    }
                }
                requestsPerStep.forEach((workspace, mean) -> {
                    int count = (int) (mean + random.nextDouble());
                    for (int i = 0; i < count; i++) {
                        if (counted()) {
                            requested.merge(workspace, 1, Integer::sum);
                        }
                        routers.get(random.nextInt(ROUTERS)).request(this, workspace, now);
                    }
                });
                if (counted()) {
                    engines.values().forEach(engine -> usedSlotSteps += engine.ends.size());
                }
            }
        }

        private long now() {
            return step * STEP.toNanos();
        }

        private boolean counted() {
            return step >= WARM_UP_SECONDS * STEPS_PER_SECOND;
        }
    }

    /** Engine that starts requests in order of arrival as its slots become free. */
    private static final class Engine {

        private final Deque<Dispatched> queue = new ArrayDeque<>();
        private final PriorityQueue<Ending> ends = new PriorityQueue<>(Comparator.comparingLong(Ending::endNanos));

        private void advance(Fleet fleet, ServerName name) {
            while (!ends.isEmpty() && ends.peek().endNanos() <= fleet.now()) {
                ends.poll().request().router.ended(name);
            }
            while (!queue.isEmpty() && ends.size() < SLOTS) {
                Dispatched request = queue.poll();
                long run = (long) (RUN_TIME.toNanos() * (0.5 + fleet.random.nextDouble()));
                ends.add(new Ending(request, fleet.now() + run));
                request.router.begun(name);
                if (fleet.counted()) {
                    fleet.begun.merge(request.workspace, 1, Integer::sum);
                }
            }
        }
    }

    private record Ending(Dispatched request, long endNanos) {}

    private record Dispatched(Router router, WorkspaceId workspace) {}

    /** Router with its own view of loads, demands and engines. */
    private static final class Router {

        private final RouterId id;
        private final List<BackendEntry> entries;
        private final LoadTracker loads = new LoadTracker();
        private final DemandTracker demands = new DemandTracker(0);
        private final EngineLatencyModel model = new EngineLatencyModel();
        private final PrefillBacklog backlog = new PrefillBacklog(model);
        private final PromptLocalitySelector selector;
        private final AdmissionPolicy policy = new FairSharePolicy();

        private Router(RouterId id, List<BackendEntry> entries) {
            this.id = id;
            this.entries = entries;
            this.selector = new PromptLocalitySelector(
                    ZONE, loads, new PromptCacheView(), new ServerHealth(), model, backlog, 0);
            for (int i = 0; i < 200; i++) {
                model.recordRunTime(entries.get(0).server(), RUN_TIME);
            }
        }

        private void request(Fleet fleet, WorkspaceId workspace, long now) {
            demands.recordRequested(SERVICE, workspace, REQUEST_TOKENS, now);
            Prompt prompt = new Prompt(List.of(new PromptPart("own", PROMPT_TOKENS)), PROMPT_TOKENS, OUTPUT_TOKENS);
            SelectedServer server = selector.select(entries, new SelectionRequest(prompt, TARGET, now))
                    .orElseThrow();
            if (server.expectedLatency().toNanos() > DEADLINE.toNanos() * MAX_EXPECTED_TIME_SHARE) {
                return;
            }
            boolean admitted = policy.decide(
                            workspace,
                            REQUEST_TOKENS,
                            () -> demands.totalDemands(SERVICE, now),
                            server.waitTime(),
                            server.meanWaitTime(),
                            TARGET.minus(server.constantTime()))
                    .admitted();
            if (admitted) {
                ServerName name = server.entry().server();
                demands.recordDispatched(SERVICE, workspace, REQUEST_TOKENS, now);
                loads.addLocal(name, ServerLoad.ofRequest(prompt, PROMPT_TOKENS));
                backlog.addLocal(name, PROMPT_TOKENS, now);
                fleet.engines.get(name).queue.add(new Dispatched(this, workspace));
            }
        }

        private void begun(ServerName name) {
            loads.addLocal(name, new ServerLoad(0, -PROMPT_TOKENS, 0));
        }

        private void ended(ServerName name) {
            loads.addLocal(name, new ServerLoad(-1, 0, -OUTPUT_TOKENS - PROMPT_TOKENS));
        }

        private void report(List<Router> others, long now) {
            Map<ServiceName, Map<WorkspaceId, Demand>> report =
                    Map.of(SERVICE, Map.copyOf(demands.localDemands(now).getOrDefault(SERVICE, Map.of())));
            Map<ServerName, Long> sent = backlog.takeSent();
            for (Router other : others) {
                if (other != this) {
                    other.loads.replacePeerReport(id, loads.localLoad());
                    other.demands.replacePeerReport(id, report);
                    sent.forEach((server, tokens) -> other.backlog.addPeer(server, tokens, now));
                }
            }
        }
    }
}
