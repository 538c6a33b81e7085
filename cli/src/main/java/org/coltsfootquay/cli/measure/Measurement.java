package org.coltsfootquay.cli.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.coltsfootquay.cli.measure.MeasurementReport.Latency;
import org.coltsfootquay.cli.measure.MeasurementReport.TargetResult;
import org.coltsfootquay.cli.measure.MeasurementReport.ZoneChange;
import org.coltsfootquay.decision.dispatch.PolicyName;
import org.coltsfootquay.decision.fairness.FairnessUtils;
import org.coltsfootquay.decision.invariant.Guarantee;

/**
 * Measurement of one policy in one scenario.
 *
 * <p>Real dispatchers, concurrency limits, placement and aggregation run on a fake clock against fake engines. The same
 * callers are also run against one central queue that knows what each engine can handle, as the reference for
 * utilisation. A run depends only on its arguments, except for the processor time.
 */
public final class Measurement {

    private static final Duration WARM_UP = Duration.ofSeconds(40);

    private final MeasureScenario scenario;
    private final PolicyName policy;
    private final MeasureSize size;
    private final long seed;
    private final Duration measured;

    /**
     * Creates a measurement at today's size.
     *
     * @param scenario scenario
     * @param policy order policy
     * @param seed seed of callers and placement
     */
    public Measurement(MeasureScenario scenario, PolicyName policy, long seed) {
        this(scenario, policy, seed, MeasureSize.TODAY, Duration.ofSeconds(MeasureSize.TODAY.seconds()));
    }

    /**
     * Creates a measurement.
     *
     * @param scenario scenario
     * @param policy order policy
     * @param seed seed of callers and placement
     * @param size size
     * @param measured simulated time after the warm-up; at least 180 s so that all disturbances have ended
     */
    public Measurement(MeasureScenario scenario, PolicyName policy, long seed, MeasureSize size, Duration measured) {
        this.scenario = scenario;
        this.policy = policy;
        this.seed = seed;
        this.size = size;
        this.measured = measured;
    }

    /**
     * Runs the measurement.
     *
     * @return report
     */
    public MeasurementReport run() {
        SimFleet reference = play(PolicyName.FIFO, true, true);
        SimFleet fleet = play(policy, false, true);
        Map<String, Latency> quiet = scenario == MeasureScenario.FLOOD
                ? latencies(play(policy, false, false).statistics.firstTokens())
                : Map.of();
        return report(fleet, reference.statistics.utilisation(), quiet);
    }

    private SimFleet play(PolicyName order, boolean central, boolean flooding) {
        ScenarioScript script = new ScenarioScript(scenario, size, measured);
        SimFleet fleet = new SimFleet(size, order, seed, central, script.workspaces());
        SimWorkload workload = new SimWorkload(fleet, seed);
        fleet.begin(workload);
        fleet.run(WARM_UP);
        fleet.statistics.begin();
        script.schedule(fleet, workload, flooding);
        fleet.run(measured);
        return fleet;
    }

    private MeasurementReport report(SimFleet fleet, double centralUtilisation, Map<String, Latency> quiet) {
        SimStatistics statistics = fleet.statistics;
        double largest = SimClass.SUMMARY.largestUnits();
        double scale = FairnessUtils.errorScale(Math.round(statistics.unitsPerSecond()), statistics.largestAgeNanos(), (int)
                Math.max(1, Math.round(statistics.meanBacklogged())));
        double perServer = statistics.unitsPerSecond() / fleet.engines.size();
        double inFlight =
                FairnessUtils.unchargedInFlight(perServer, fleet.owners().size(), Duration.ofSeconds(1));
        Map<String, Latency> latencies = latencies(statistics.firstTokens());
        quiet.forEach((name, latency) -> latencies.put(name + "/without-flood", latency));
        Latency before = latencies.get("question/before");
        Latency during = latencies.get("question/during");
        double bytes = 0;
        double largestBytes = 0;
        double cpu = 0;
        for (SimRouter router : fleet.routers) {
            bytes += router.meter.bytes() / statistics.seconds() / fleet.routers.size();
            largestBytes = Math.max(largestBytes, router.meter.bytes() / statistics.seconds());
            cpu = Math.max(cpu, router.meter.cpuNanos() / 1e9 / statistics.seconds());
        }
        Map<String, Long> violations = new LinkedHashMap<>();
        for (Guarantee guarantee : Guarantee.values()) {
            long count = statistics.monitor().count(guarantee);
            if (count > 0) {
                violations.put(guarantee.name(), count);
            }
        }
        int coldExcess = fleet.engines.stream()
                .mapToInt(engine -> engine.largestColdExcess)
                .max()
                .orElse(0);
        MeasurementReport report = new MeasurementReport(
                scenario.label(),
                policy.label(),
                size.label(),
                seed,
                statistics.seconds(),
                statistics.gapUnits() / largest,
                FairnessUtils.gapBound(largest, scale, inFlight) / largest,
                statistics.utilisation(),
                centralUtilisation,
                statistics.idleWhileWaiting(),
                bytes,
                largestBytes,
                cpu,
                new ZoneChange(
                        statistics.refused(),
                        statistics.cutStreams(),
                        before == null ? 0 : before.p95Millis(),
                        during == null ? 0 : during.p95Millis()),
                coldExcess,
                statistics.preemptions(),
                violations,
                latencies,
                List.of());
        return withTargets(report, statistics);
    }

    private MeasurementReport withTargets(MeasurementReport report, SimStatistics statistics) {
        List<TargetResult> targets = new ArrayList<>();
        atMost(targets, "fairness gap within the bound", report.fairnessGap(), report.gapBound());
        atMost(targets, "idle while work waits", report.idleWhileWaiting(), 0.01);
        double behind = report.centralUtilisation() - report.utilisation();
        if (scenario != MeasureScenario.STORE_DOWN) {
            atMost(targets, "utilisation behind the central queue", behind, 0.02);
        }
        if (scenario == MeasureScenario.COLD_START || scenario == MeasureScenario.MIXED) {
            atMost(targets, "requests above the capacity of a cold engine", report.coldExcess(), 0);
        }
        Histogram reserved = statistics.firstTokens().get("question/reserved");
        if (reserved != null) {
            double late = 1 - reserved.getPercentileAtOrBelowValue(SimClass.QUESTION.firstToken.toMillis()) / 100;
            atMost(targets, "late first tokens of returning reserved workspace", late, 0.05);
        }
        if (scenario == MeasureScenario.FLOOD) {
            for (String name : List.of("question", "summary")) {
                // The same seconds of the same callers without the flood: a window before it would leave out long
                // waits.
                Latency before = report.latencies().get(name + "/during/without-flood");
                Latency during = report.latencies().get(name + "/during");
                double change = (double) during.p95Millis() / before.p95Millis() - 1;
                atMost(targets, "rise of others' p95 first token in a flood, " + name, change, 0.10);
            }
        }
        if (scenario == MeasureScenario.ZONE_LEAVES) {
            atMost(
                    targets,
                    "streams cut by a zone that leaves",
                    report.zoneChange().cut(),
                    0);
        }
        return new MeasurementReport(
                report.scenario(),
                report.policy(),
                report.size(),
                report.seed(),
                report.simulatedSeconds(),
                report.fairnessGap(),
                report.gapBound(),
                report.utilisation(),
                report.centralUtilisation(),
                report.idleWhileWaiting(),
                report.controlBytesPerSecond(),
                report.largestControlBytesPerSecond(),
                report.controlCpuShare(),
                report.zoneChange(),
                report.coldExcess(),
                report.preemptions(),
                report.violations(),
                report.latencies(),
                targets);
    }

    private static void atMost(List<TargetResult> targets, String name, double value, double limit) {
        targets.add(new TargetResult(name, value, limit, value <= limit));
    }

    private static Map<String, Latency> latencies(Map<String, Histogram> histograms) {
        Map<String, Latency> latencies = new LinkedHashMap<>();
        histograms.forEach((name, histogram) -> latencies.put(
                name,
                new Latency(
                        histogram.getTotalCount(),
                        histogram.getValueAtPercentile(50),
                        histogram.getValueAtPercentile(95),
                        histogram.getValueAtPercentile(99))));
        return latencies;
    }
}
