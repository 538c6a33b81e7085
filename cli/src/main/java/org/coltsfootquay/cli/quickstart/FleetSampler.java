package org.coltsfootquay.cli.quickstart;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootquay.cli.load.ServiceRecorder;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.fairness.FairnessGapMonitor;
import org.coltsfootquay.decision.fairness.ServiceTotals.OwnerLoad;

/** Samples service, queues and engines of a fleet while it runs. */
final class FleetSampler implements AutoCloseable {

    private static final long PERIOD_MILLIS = 20;

    /** Calls a closed loop keeps outstanding beyond which a workspace surely has some that wait. */
    private static final int BACKLOG_CALLS = 24;

    private final EmbeddedFleet fleet;
    private final ServiceRecorder recorder;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    private final FairnessGapMonitor gap = new FairnessGapMonitor();
    private final Map<String, Long> counted = new HashMap<>();
    private final AtomicLong freeSlots = new AtomicLong();
    private final AtomicLong waiting = new AtomicLong();
    private volatile boolean measuring;
    private long samples;
    private double utilisationSum;
    private double idleSlots;
    private double totalSlots;

    FleetSampler(EmbeddedFleet fleet, ServiceRecorder recorder) {
        this.fleet = fleet;
        this.recorder = recorder;
    }

    /** What the samples gave so far. */
    record Summary(long fairnessGapUnits, double utilisation, double idleWhileWaiting) {}

    void start() {
        Future<?> unused =
                thread.scheduleAtFixedRate(this::sample, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Starts or ends the phase that counts for utilisation and idle capacity. */
    void measure(boolean on) {
        measuring = on;
    }

    synchronized Summary summary() {
        return new Summary(
                gap.largest().map(FairnessGapMonitor.Gap::units).orElse(0L),
                samples == 0 ? 0 : utilisationSum / samples,
                totalSlots == 0 ? 0 : idleSlots / totalSlots);
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }

    private synchronized void sample() {
        sampleGap();
        sampleCapacity();
        requestLoads();
    }

    private void sampleGap() {
        recorder.served().forEach((workspace, units) -> {
            long before = counted.getOrDefault(workspace, 0L);
            gap.add(new WorkspaceId(workspace), units - before);
            counted.put(workspace, units);
        });
        Set<WorkspaceId> backlogged = new HashSet<>();
        recorder.outstanding().forEach((workspace, calls) -> {
            if (calls >= BACKLOG_CALLS && FleetLayout.LARGE.contains(workspace)) {
                backlogged.add(new WorkspaceId(workspace));
            }
        });
        gap.observe(backlogged);
    }

    private void sampleCapacity() {
        if (!measuring) {
            return;
        }
        long busy = fleet.engines().stream()
                .mapToLong(engine ->
                        Math.min(EmbeddedFleet.ENGINE_KNEE, engine.counters().value("running")))
                .sum();
        long slots = (long) FleetLayout.ENGINES * EmbeddedFleet.ENGINE_KNEE;
        samples++;
        utilisationSum += (double) busy / slots;
        totalSlots += slots;
        idleSlots += Math.min(freeSlots.get(), waiting.get());
    }

    /** Asks the owners for their loads; the answers are used by the next sample. */
    private void requestLoads() {
        AtomicLong free = new AtomicLong();
        AtomicLong queued = new AtomicLong();
        List<?> routers = fleet.routers();
        AtomicLong missing = new AtomicLong(routers.size());
        fleet.routers()
                .forEach(router -> router.readLoads(loads -> {
                    add(loads, free, queued);
                    if (missing.decrementAndGet() == 0) {
                        freeSlots.set(free.get());
                        waiting.set(queued.get());
                    }
                }));
    }

    private static void add(Map<ServiceName, OwnerLoad> loads, AtomicLong free, AtomicLong queued) {
        OwnerLoad load = loads.get(FleetLayout.MODEL);
        if (load != null) {
            free.addAndGet(load.freeSlots());
            queued.addAndGet(load.queueLength());
        }
    }
}
