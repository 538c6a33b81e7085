package org.coltsfootquay.cli.quickstart;

import java.util.Locale;
import java.util.logging.Level;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.cli.Command;
import org.coltsfootquay.cli.CommandException;
import org.coltsfootquay.cli.CommandRunner;
import org.coltsfootquay.cli.CommandUtils;
import org.coltsfootquay.cli.Console;
import org.coltsfootquay.cli.LogUtils;
import org.coltsfootquay.cli.UsageException;

/** Runs a small fleet with stand-ins in this process under load and reports its measures. */
public final class QuickstartCommand implements Command {

    private static final long DEFAULT_SECONDS = 18;
    private static final long DEFAULT_SEED = 1;

    @Override
    public String name() {
        return "quickstart";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "run a small fleet with stand-ins in one process and report its measures";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "seconds", true, "length of the load, 8 to 600; default: " + DEFAULT_SECONDS)
                .addOption(null, "seed", true, "seed of the load; default: " + DEFAULT_SEED)
                .addOption(null, "policy", true, "fleet, per-router or fifo; default: fleet")
                .addOption(null, "report", true, "file for the measures as JSON");
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CommandException, InterruptedException {
        long seconds = CommandUtils.number(line, "seconds", 8, 600, DEFAULT_SECONDS);
        long seed = CommandUtils.number(line, "seed", 0, Long.MAX_VALUE, DEFAULT_SEED);
        LogUtils.writeTo(console.err(), Level.WARNING);
        QuickstartReport report = new QuickstartRun(seconds, seed, CommandUtils.policy(line), console).run();
        print(report, console);
        CommandUtils.writeReport(line, report);
        return report.violations().isEmpty() ? CommandRunner.EXIT_OK : CommandRunner.EXIT_FAILURE;
    }

    private static void print(QuickstartReport report, Console console) {
        console.print(String.format(Locale.ROOT, "requests              %d %s", report.requests(), report.outcomes()));
        if (!report.refusals().isEmpty()) {
            console.print("not completed         " + report.refusals());
        }
        console.print(String.format(
                Locale.ROOT,
                "fairness gap          %.2f largest requests (bound %.1f)",
                report.fairnessGap(),
                report.gapBound()));
        console.print(String.format(
                Locale.ROOT,
                "utilisation           %.1f%%, idle while work waits %.2f%%",
                100 * report.utilisation(),
                100 * report.idleWhileWaiting()));
        console.print(String.format(
                Locale.ROOT,
                "control of a router   %.0f B/s, %.2f%% of a core; messages of requests %.0f B/s",
                report.controlBytesPerSecond(),
                100 * report.controlCpuShare(),
                report.requestBytesPerSecond()));
        QuickstartReport.ZoneChange zone = report.zoneChange();
        console.print(String.format(
                Locale.ROOT,
                "zone leaves, returns  refused %d, cut %d, late starts %d, first token p95 %d ms (steady %d ms)",
                zone.refused(),
                zone.cut(),
                zone.lateStarts(),
                zone.changeFirstTokenP95Millis(),
                zone.steadyFirstTokenP95Millis()));
        console.print("reserved first token  p95 " + report.reservedFirstTokenP95Millis() + " ms");
        report.latencies()
                .forEach((name, latency) -> console.print(String.format(
                        Locale.ROOT,
                        "%-21s %d calls, first p50 %d p95 %d ms, end p95 %d ms, token interval p95 %d ms",
                        name,
                        latency.count(),
                        latency.firstOutputP50Millis(),
                        latency.firstOutputP95Millis(),
                        latency.totalP95Millis(),
                        latency.tokenGapP95Millis())));
        report.violations().forEach(violation -> console.print("VIOLATION " + violation));
    }
}
