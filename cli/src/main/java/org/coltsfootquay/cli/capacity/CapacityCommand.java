package org.coltsfootquay.cli.capacity;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.cli.Command;
import org.coltsfootquay.cli.CommandException;
import org.coltsfootquay.cli.CommandRunner;
import org.coltsfootquay.cli.Console;
import org.coltsfootquay.settings.SettingsException;

/** Measures how the cost of control grows with size and prints the table of {@code docs/CAPACITY.md}. */
public final class CapacityCommand implements Command {

    @Override
    public String name() {
        return "capacity";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "measure how control cost grows with size and print a table of slopes";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public int run(CommandLine line, Console console) throws CommandException {
        List<Slope> slopes = new ArrayList<>();
        try {
            console.report("configuration ...");
            slopes.addAll(ConfigurationProbe.measure());
        } catch (SettingsException e) {
            throw new CommandException("the generated configuration is not valid: " + e.getMessage(), e);
        }
        console.report("dispatch decisions ...");
        slopes.addAll(DecisionProbe.measure());
        console.report("aggregation tree ...");
        slopes.addAll(TotalsProbe.measure());
        console.report("leases, membership, ownership ...");
        slopes.addAll(ControlPlaneProbe.measure());
        console.print("| what | size | unit | measured (size: value) | line | at the target |");
        console.print("|---|---|---|---|---|---|");
        slopes.forEach(slope -> console.print(slope.tableRow()));
        return CommandRunner.EXIT_OK;
    }
}
