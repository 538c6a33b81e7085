package org.coltsfootquay.cli.quickstart;

import static org.coltsfootquay.cli.quickstart.ResultUtils.percentile;
import static org.coltsfootquay.cli.quickstart.ResultUtils.select;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.cli.CommandException;
import org.coltsfootquay.cli.Console;
import org.coltsfootquay.cli.load.CallOutcome;
import org.coltsfootquay.cli.load.CallResult;
import org.coltsfootquay.cli.load.LoadRun;
import org.coltsfootquay.decision.dispatch.PolicyName;
import org.coltsfootquay.decision.fairness.FairnessUtils;
import org.coltsfootquay.standin.application.ApplicationStandIn;
import org.coltsfootquay.standin.engine.EngineStandIn;

/** One run: start, load, a zone that leaves and returns, end, figures. */
final class QuickstartRun {

    private static final Duration WARM_UP = Duration.ofSeconds(2);
    private static final Duration LEAVE_TAKES_EFFECT = Duration.ofSeconds(2);
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(6);
    private static final long ZONE_SETTLES_MILLIS = 5_000;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int UNITS_PER_OUTPUT_TOKEN = 2;

    /** Totals are one report period old at a router and one more at its child. */
    private static final double TOTALS_AGE_SECONDS = 1;

    private final long seconds;
    private final long seed;
    private final PolicyName policy;
    private final Console console;
    private final String leavingZone = FleetLayout.ZONES.get(1).value();

    QuickstartRun(long seconds, long seed, PolicyName policy, Console console) {
        this.seconds = seconds;
        this.seed = seed;
        this.policy = policy;
        this.console = console;
    }

    /** Times of the zone change since the start of the load. */
    private record ZoneTimes(long leftMillis, long returnedMillis, long lateStarts) {}

    QuickstartReport run() throws CommandException, InterruptedException {
        try (EmbeddedFleet fleet = new EmbeddedFleet()) {
            long startNanos = System.nanoTime();
            fleet.start(policy);
            console.report(String.format(
                    Locale.ROOT,
                    "fleet ready after %.1f s: %d routers, %d engines, %d application servers, %d workspaces",
                    (System.nanoTime() - startNanos) / 1e9,
                    fleet.routers().size(),
                    fleet.engines().size(),
                    fleet.applications().size(),
                    FleetLayout.workspaces().size()));
            return load(fleet);
        }
    }

    private QuickstartReport load(EmbeddedFleet fleet) throws CommandException, InterruptedException {
        long endMillis = Duration.ofSeconds(seconds).toMillis();
        try (LoadRun run = new LoadRun(fleet.callerAddresses(), seed);
                FleetSampler sampler = new FleetSampler(fleet, run.recorder())) {
            QuickstartLoads.all(fleet.callerAddresses(), endMillis / 4, endMillis)
                    .forEach(run::start);
            sampler.start();
            waitUntil(run, WARM_UP.toMillis());
            CpuMeter cpu = new CpuMeter("-control");
            double cpuBefore = cpu.seconds();
            ControlTraffic trafficBefore = ControlTraffic.of(fleet.metrics());
            long measureFrom = run.elapsedMillis();
            sampler.measure(true);
            waitUntil(run, endMillis * 45 / 100);
            sampler.measure(false);
            ZoneTimes zone = changeZone(fleet, run, endMillis);
            waitUntil(run, endMillis);
            double measuredSeconds = (run.elapsedMillis() - measureFrom) / 1000.0;
            double cpuSeconds = cpu.seconds() - cpuBefore;
            ControlTraffic traffic = ControlTraffic.of(fleet.metrics()).since(trafficBefore);
            run.stop();
            boolean idle = run.awaitIdle(IDLE_LIMIT);
            List<String> violations = violations(fleet, run, zone, idle);
            double perRouter = measuredSeconds * fleet.routers().size();
            return report(
                    run.results(), sampler.summary(), zone, traffic, perRouter, cpuSeconds / perRouter, violations);
        }
    }

    private ZoneTimes changeZone(EmbeddedFleet fleet, LoadRun run, long endMillis)
            throws CommandException, InterruptedException {
        console.report("zone " + leavingZone + " leaves");
        fleet.operator("POST", "/v1/operator/zones/" + leavingZone + "/leave");
        long left = run.elapsedMillis();
        waitUntil(run, left + LEAVE_TAKES_EFFECT.toMillis());
        long startedBefore = requestsInZone(fleet);
        waitUntil(run, endMillis * 65 / 100);
        long lateStarts = requestsInZone(fleet) - startedBefore;
        console.report("zone " + leavingZone + " returns");
        fleet.operator("POST", "/v1/operator/zones/" + leavingZone + "/return");
        return new ZoneTimes(left, run.elapsedMillis(), lateStarts);
    }

    private static long requestsInZone(EmbeddedFleet fleet) {
        long requests = 0;
        for (int i = 0; i < fleet.engines().size(); i++) {
            if (FleetLayout.zoneOf(i).equals(FleetLayout.ZONES.get(1))) {
                requests += fleet.engines().get(i).counters().value("executions");
            }
        }
        return requests;
    }

    private void waitUntil(LoadRun run, long millis) throws InterruptedException {
        while (run.elapsedMillis() < millis) {
            TimeUnit.MILLISECONDS.sleep(Math.min(1_000, millis - run.elapsedMillis()));
            if (run.elapsedMillis() < millis) {
                console.report(String.format(
                        Locale.ROOT,
                        "%3d s: %d calls ended, %d in flight",
                        run.elapsedMillis() / 1_000,
                        run.results().size(),
                        run.inFlight()));
            }
        }
    }

    private static List<String> violations(EmbeddedFleet fleet, LoadRun run, ZoneTimes zone, boolean idle) {
        List<String> violations = new ArrayList<>();
        run.failure().ifPresent(failure -> violations.add("load generator failed: " + failure));
        run.results().stream()
                .filter(result -> ResultUtils.isOneOf(result, CallOutcome.WRONG_ANSWER, CallOutcome.CUT))
                .limit(5)
                .forEach(result -> violations.add("G5: " + result));
        for (ApplicationStandIn application : fleet.applications()) {
            application
                    .executions()
                    .repeatedKeys()
                    .forEach((key, count) ->
                            violations.add("G7: booking " + key + " ran " + count + " times on one server"));
        }
        List<String> seen = new ArrayList<>();
        fleet.applications()
                .forEach(server -> server.executions().byKey().keySet().forEach(key -> {
                    if (seen.contains(key)) {
                        violations.add("G7: booking " + key + " ran on two servers");
                    }
                    seen.add(key);
                }));
        if (zone.lateStarts() > 0) {
            violations.add("G4: " + zone.lateStarts() + " requests started in the zone later than 2 s after the order");
        }
        if (!idle) {
            violations.add(
                    "G9: " + run.inFlight() + " calls had no answer " + IDLE_LIMIT.toSeconds() + " s after the end");
        }
        for (EngineStandIn engine : fleet.engines()) {
            if (engine.counters().value("collapses") > 0) {
                violations.add("G3: engine " + engine.address() + " was overloaded until it failed");
            }
        }
        return violations;
    }

    private QuickstartReport report(
            List<CallResult> results,
            FleetSampler.Summary samples,
            ZoneTimes zone,
            ControlTraffic traffic,
            double perRouter,
            double cpuShare,
            List<String> violations) {
        long largest = QuickstartLoads.MAX_PROMPT_CHARS / BYTES_PER_TOKEN
                + (long) UNITS_PER_OUTPUT_TOKEN * QuickstartLoads.MAX_TOKENS;
        double rate = results.stream().mapToLong(CallResult::units).sum() / (double) seconds;
        double scale = rate * (TOTALS_AGE_SECONDS + 1) / FleetLayout.LARGE.size();
        double bound = FairnessUtils.gapBound((double) largest, scale, rate / FleetLayout.ENGINES);
        List<CallResult> labels = ResultUtils.completed(
                select(results, result -> result.classOfWork().equals(FleetLayout.LABEL_CLASS)));
        List<CallResult> small = select(labels, result -> !FleetLayout.LARGE.contains(result.workspace()));
        return new QuickstartReport(
                seconds,
                results.size(),
                ResultUtils.countBy(results, result -> result.outcome().name().toLowerCase(Locale.ROOT)),
                ResultUtils.countBy(
                        select(results, result -> result.outcome() != CallOutcome.COMPLETED), CallResult::detail),
                samples.fairnessGapUnits() / (double) largest,
                bound / (double) largest,
                samples.utilisation(),
                samples.idleWhileWaiting(),
                traffic.controlBytes() / perRouter,
                traffic.requestBytes() / perRouter,
                traffic.perSecond(perRouter),
                cpuShare,
                zoneChange(results, small, zone),
                ResultUtils.latencies(results),
                percentile(
                        select(labels, result -> result.workspace().equals(FleetLayout.RESERVED)),
                        CallResult::firstOutputMillis,
                        0.95),
                violations);
    }

    private QuickstartReport.ZoneChange zoneChange(List<CallResult> results, List<CallResult> small, ZoneTimes zone) {
        long end = zone.returnedMillis() + ZONE_SETTLES_MILLIS;
        List<CallResult> during =
                select(results, result -> result.startedMillis() >= zone.leftMillis() && result.startedMillis() < end);
        List<CallResult> before = select(
                small,
                result -> result.startedMillis() >= WARM_UP.toMillis() && result.startedMillis() < zone.leftMillis());
        return new QuickstartReport.ZoneChange(
                leavingZone,
                select(during, result -> result.outcome() == CallOutcome.REFUSED_NOT_RUN)
                        .size(),
                select(during, result -> ResultUtils.isOneOf(result, CallOutcome.CUT, CallOutcome.FAILED))
                        .size(),
                zone.lateStarts(),
                percentile(before, CallResult::firstOutputMillis, 0.95),
                percentile(
                        select(
                                small,
                                result -> result.startedMillis() >= zone.leftMillis() && result.startedMillis() < end),
                        CallResult::firstOutputMillis,
                        0.95));
    }
}
