package org.coltsfootquay.cli.measure;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.dispatch.ServerState;
import org.coltsfootquay.decision.fairness.FairnessGapMonitor;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.invariant.InvariantMonitor;
import org.coltsfootquay.decision.invariant.SchedulingInvariants;
import org.coltsfootquay.decision.timeline.TimelineSink;

/** What is measured while a simulated fleet runs. */
final class SimStatistics {

    private static final long SECOND = 1_000_000_000L;

    private final SimFleet fleet;
    private final InvariantMonitor monitor = new InvariantMonitor(TimelineSink.NONE);
    private final SchedulingInvariants invariants = new SchedulingInvariants(monitor);
    private final FairnessGapMonitor gap = new FairnessGapMonitor();
    private final Map<SimRequest, Long> counted = new HashMap<>();
    private final Map<String, Histogram> firstTokens = new LinkedHashMap<>();
    private final Set<WorkspaceId> waited = new HashSet<>();
    private boolean measuring;
    private long beganNanos;
    private long observedNanos;
    private long servedUnits;
    private double idleSlotSeconds;
    private double capacitySlotSeconds;
    private double tokens;
    private double possibleTokens;
    private long backloggedSum;
    private int backloggedSamples;
    private long largestAgeNanos;
    private int refused;
    private int cut;
    private int preempted;
    private String phase = "";

    SimStatistics(SimFleet fleet) {
        this.fleet = fleet;
    }

    void begin() {
        measuring = true;
        beganNanos = fleet.now();
        observedNanos = fleet.now();
        servedUnits = 0;
        fleet.routers.forEach(router -> router.meter.reset());
    }

    /** Latencies from now on are counted under another name as well. */
    void phase(String name) {
        phase = name;
    }

    InvariantMonitor monitor() {
        return monitor;
    }

    SchedulingInvariants invariants() {
        return invariants;
    }

    void refused(SimRequest request) {
        if (measuring) {
            refused++;
        }
    }

    void cut() {
        cut++;
    }

    void preempted() {
        preempted++;
    }

    void completed(SimRequest request) {
        count(request);
        counted.remove(request);
    }

    /** Called in each step. */
    void observe() {
        long now = fleet.now();
        long free = 0;
        long waiting = 0;
        long capacity = 0;
        for (SimRouter router : fleet.routers) {
            ServiceTotals.OwnerLoad load = router.dispatcher.load(now);
            free += load.freeSlots();
            waiting += load.queueLength();
            for (ServerState state : router.dispatcher.servers()) {
                capacity += state.admitsWork() ? state.capacity() : 0;
            }
            waited.addAll(router.dispatcher.waitingWorkspaces());
        }
        for (FakeEngine engine : fleet.engines) {
            for (SimRequest request : engine.running) {
                noteFirstToken(request);
            }
        }
        if (measuring) {
            double seconds = SimFleet.STEP.toMillis() / 1e3;
            idleSlotSeconds += Math.min(free, waiting) * seconds;
            capacitySlotSeconds += capacity * seconds;
            for (FakeEngine engine : fleet.engines) {
                possibleTokens += engine.fullRate() * seconds;
            }
            invariants.checkIdleCapacity(SimFleet.SERVICE, (int) free, (int) capacity, (int) waiting, now);
        }
        if (now - observedNanos >= SECOND) {
            observedNanos = now;
            observeGap();
        }
    }

    private void observeGap() {
        for (FakeEngine engine : fleet.engines) {
            engine.running.forEach(this::count);
        }
        if (measuring) {
            gap.observe(waited);
            backloggedSum += waited.size();
            backloggedSamples++;
            for (SimRouter router : fleet.routers) {
                largestAgeNanos = Math.max(largestAgeNanos, router.totalsAgeNanos());
            }
        }
        waited.clear();
    }

    private void noteFirstToken(SimRequest request) {
        if (request.firstTokenNanos == 0 && request.attemptFirstTokenNanos != 0) {
            request.firstTokenNanos = request.attemptFirstTokenNanos;
            if (measuring && request.createdNanos >= beganNanos) {
                long millis = (request.firstTokenNanos - request.createdNanos) / 1_000_000;
                String name = request.classOfWork.className().value();
                record(name, millis);
                if (!phase.isEmpty() && !request.workspace.excludedFromPhase) {
                    record(name + "/" + phase, millis);
                }
                if (request.workspace.reservedPerSecond > 0) {
                    record(name + "/reserved", millis);
                }
            }
        }
    }

    private void count(SimRequest request) {
        noteFirstToken(request);
        long received = (request.firstTokenNanos == 0 ? 0 : request.input)
                + Math.round(SimRequest.OUTPUT_UNITS * request.tokens);
        Long former = counted.put(request, received);
        long units = received - (former == null ? 0 : former);
        gap.add(request.workspaceId(), units);
        servedUnits += units;
        if (measuring) {
            double produced = request.tokens - request.tokensCounted;
            tokens += produced;
        }
        request.tokensCounted = request.tokens;
    }

    private void record(String name, long millis) {
        firstTokens.computeIfAbsent(name, any -> new Histogram(3)).recordValue(Math.max(0, millis));
    }

    double seconds() {
        return (fleet.now() - beganNanos) / 1e9;
    }

    long gapUnits() {
        return gap.largest().map(FairnessGapMonitor.Gap::units).orElse(0L);
    }

    double unitsPerSecond() {
        return servedUnits / seconds();
    }

    double meanBacklogged() {
        return backloggedSamples == 0 ? 0 : (double) backloggedSum / backloggedSamples;
    }

    long largestAgeNanos() {
        return largestAgeNanos;
    }

    double utilisation() {
        return tokens / possibleTokens;
    }

    double idleWhileWaiting() {
        return capacitySlotSeconds == 0 ? 0 : idleSlotSeconds / capacitySlotSeconds;
    }

    int refused() {
        return refused;
    }

    int cutStreams() {
        return cut;
    }

    int preemptions() {
        return preempted;
    }

    Map<String, Histogram> firstTokens() {
        return firstTokens;
    }
}
