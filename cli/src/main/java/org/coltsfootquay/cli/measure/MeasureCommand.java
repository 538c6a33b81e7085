package org.coltsfootquay.cli.measure;

import java.time.Duration;
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

/** Measures one policy in one scenario on the decision code with an injected clock. */
public final class MeasureCommand implements Command {

    private static final long DEFAULT_SEED = 1;

    @Override
    public String name() {
        return "measure";
    }

    @Override
    public String arguments() {
        return "SCENARIO";
    }

    @Override
    public String summary() {
        return "measure a policy: uneven, flood, priority-returns, cold-start, zone-leaves, store-down or mixed";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "policy", true, "fleet, per-router or fifo; default: fleet")
                .addOption(null, "size", true, "today (8 routers) or target (64 owners); default: today")
                .addOption(null, "seconds", true, "simulated time that is measured; default: that of the size")
                .addOption(null, "seed", true, "seed; default: " + DEFAULT_SEED)
                .addOption(null, "report", true, "file for the measures as JSON");
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CommandException {
        LogUtils.writeTo(console.err(), Level.WARNING);
        MeasurementReport report = measurement(line).run();
        print(report, console);
        CommandUtils.writeReport(line, report);
        return report.violations().isEmpty() ? CommandRunner.EXIT_OK : CommandRunner.EXIT_FAILURE;
    }

    private static Measurement measurement(CommandLine line) throws UsageException {
        try {
            MeasureScenario scenario = MeasureScenario.ofLabel(CommandUtils.argument(line, 0, "SCENARIO"));
            MeasureSize size = MeasureSize.ofLabel(line.getOptionValue("size", "today"));
            long seed = CommandUtils.number(line, "seed", 0, Long.MAX_VALUE, DEFAULT_SEED);
            long seconds = CommandUtils.number(line, "seconds", 10, 100_000, size.seconds());
            return new Measurement(scenario, CommandUtils.policy(line), seed, size, Duration.ofSeconds(seconds));
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }

    private static void print(MeasurementReport report, Console console) {
        console.print(String.format(
                Locale.ROOT,
                "%s, policy %s, size %s, seed %d, %.0f simulated seconds",
                report.scenario(),
                report.policy(),
                report.size(),
                report.seed(),
                report.simulatedSeconds()));
        console.print(String.format(
                Locale.ROOT,
                "fairness gap          %.1f largest requests (bound %.1f)",
                report.fairnessGap(),
                report.gapBound()));
        console.print(String.format(
                Locale.ROOT,
                "utilisation           %.1f%% (central queue %.1f%%), idle while work waits %.3f%%",
                100 * report.utilisation(),
                100 * report.centralUtilisation(),
                100 * report.idleWhileWaiting()));
        console.print(String.format(
                Locale.ROOT,
                "control of a router   %.0f B/s (busiest %.0f B/s), %.2f%% of a core",
                report.controlBytesPerSecond(),
                report.largestControlBytesPerSecond(),
                100 * report.controlCpuShare()));
        console.print("zone change           " + report.zoneChange());
        report.latencies().forEach((name, latency) -> console.print(name + " " + latency));
        report.targets()
                .forEach(target -> console.print(String.format(
                        Locale.ROOT,
                        "%s %s: %.4g, limit %.4g",
                        target.met() ? "met   " : "MISSED",
                        target.name(),
                        target.value(),
                        target.limit())));
        report.violations().forEach((guarantee, count) -> console.print("VIOLATION " + guarantee + ": " + count));
    }
}
