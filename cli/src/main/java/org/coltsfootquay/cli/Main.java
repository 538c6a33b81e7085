package org.coltsfootquay.cli;

import java.util.List;
import java.util.Optional;
import org.coltsfootquay.cli.capacity.CapacityCommand;
import org.coltsfootquay.cli.explain.ExplainCommand;
import org.coltsfootquay.cli.load.LoadCommand;
import org.coltsfootquay.cli.measure.MeasureCommand;
import org.coltsfootquay.cli.operator.AddressesCommand;
import org.coltsfootquay.cli.operator.ConfigCommand;
import org.coltsfootquay.cli.operator.LeaveReturnCommand;
import org.coltsfootquay.cli.quickstart.QuickstartCommand;
import org.coltsfootquay.cli.soak.SoakCommand;
import org.coltsfootquay.cli.timeline.TimelineCommand;

/** Entry point of the executable jar. */
public final class Main {

    private Main() {}

    /**
     * Runs a command and exits with its code.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        Console console = new Console(System.out, System.err);
        System.exit(new CommandRunner(commands(), console, version()).run(arguments));
    }

    static List<Command> commands() {
        return List.of(
                new QuickstartCommand(),
                new RouterCommand(),
                new StandInCommand(),
                new LoadCommand(),
                new MeasureCommand(),
                new CapacityCommand(),
                new CheckConfigCommand(),
                new ConfigCommand(),
                LeaveReturnCommand.zone(),
                LeaveReturnCommand.server(),
                new AddressesCommand(),
                new TimelineCommand(),
                new ExplainCommand(),
                new SoakCommand());
    }

    private static String version() {
        return Optional.ofNullable(Main.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
