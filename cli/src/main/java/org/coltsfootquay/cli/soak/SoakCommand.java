package org.coltsfootquay.cli.soak;

import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.cli.Command;
import org.coltsfootquay.cli.CommandRunner;
import org.coltsfootquay.cli.CommandUtils;
import org.coltsfootquay.cli.Console;
import org.coltsfootquay.cli.UsageException;

/** Runs simulated fleets with random faults for a given time. */
public final class SoakCommand implements Command {

    private static final int EXIT_VIOLATION = 1;

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "run simulated fleets with random faults and check the guarantees";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "seed", true, "seed of the first run (default 1)")
                .addOption(null, "minutes", true, "time after which no further run begins (default 5)");
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException {
        long seed = CommandUtils.number(line, "seed", 0, Long.MAX_VALUE, 1);
        Duration limit = Duration.ofMinutes(CommandUtils.number(line, "minutes", 1, 1_440, 5));
        SoakRun.Outcome outcome = new SoakRun(seed, limit, System::nanoTime, console::report).run();
        outcome.violation().ifPresent(console::print);
        console.print("runs=" + outcome.runs() + " simulated_hours="
                + outcome.simulated().toHours() + " first_seed=" + seed + " violations="
                + (outcome.violation().isPresent() ? 1 : 0));
        return outcome.violation().isPresent() ? EXIT_VIOLATION : CommandRunner.EXIT_OK;
    }
}
