package org.coltsfootquay.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/** Finds a command by its name, parses its options, and turns failures into exit codes. */
public final class CommandRunner {

    /** Exit code of a command that did what was asked. */
    public static final int EXIT_OK = 0;

    /** Exit code of a command that failed or found a violated guarantee. */
    public static final int EXIT_FAILURE = 1;

    /** Exit code after wrong options, arguments or settings. */
    public static final int EXIT_USAGE = 2;

    private static final String PROGRAM = "coltsfootquay";

    private final Map<String, Command> commands = new LinkedHashMap<>();
    private final Console console;
    private final String version;

    /**
     * Creates a runner.
     *
     * @param commands commands in the order of the help text
     * @param console output
     * @param version version that {@code --version} prints
     */
    public CommandRunner(List<Command> commands, Console console, String version) {
        commands.forEach(command -> this.commands.put(command.name(), command));
        this.console = console;
        this.version = version;
    }

    /**
     * Runs a command line.
     *
     * @param arguments arguments of the process
     * @return exit code
     */
    public int run(String... arguments) {
        if (arguments.length == 0) {
            printOverview(console.err());
            return EXIT_USAGE;
        }
        if (arguments[0].equals("--help") || arguments[0].equals("help")) {
            printOverview(console.out());
            return EXIT_OK;
        }
        if (arguments[0].equals("--version")) {
            console.print(PROGRAM + " " + version);
            return EXIT_OK;
        }
        Command command = commands.get(arguments[0]);
        if (command == null) {
            return usageError("unknown command '" + arguments[0] + "'; use one of " + commands.keySet());
        }
        return run(command, Arrays.copyOfRange(arguments, 1, arguments.length));
    }

    private int run(Command command, String[] arguments) {
        Options options = command.options();
        options.addOption(null, "help", false, "print this text");
        options.addOption(null, "version", false, "print the version");
        List<String> given = Arrays.asList(arguments);
        if (given.contains("--help")) {
            return printHelp(command, options);
        }
        if (given.contains("--version")) {
            console.print(PROGRAM + " " + version);
            return EXIT_OK;
        }
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            return command.run(line, console);
        } catch (ParseException | UsageException e) {
            return usageError(command.name() + ": " + e.getMessage());
        } catch (CommandException e) {
            console.report(PROGRAM + ": " + command.name() + ": " + e.getMessage());
            return EXIT_FAILURE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            console.report(PROGRAM + ": " + command.name() + ": interrupted; run it again");
            return EXIT_FAILURE;
        }
    }

    private int usageError(String message) {
        console.report(PROGRAM + ": " + message);
        console.report("Run '" + PROGRAM + " --help' or '" + PROGRAM + " COMMAND --help'.");
        return EXIT_USAGE;
    }

    private int printHelp(Command command, Options options) {
        PrintWriter writer = new PrintWriter(console.out(), true, java.nio.charset.StandardCharsets.UTF_8);
        HelpFormatter formatter = HelpFormatter.builder()
                .setHelpAppendable(new TextHelpAppendable(writer))
                .setShowSince(false)
                .get();
        String syntax = (PROGRAM + " " + command.name() + " [options] " + command.arguments()).strip();
        try {
            formatter.printHelp(syntax, command.summary(), options, "", false);
        } catch (IOException e) {
            console.report(PROGRAM + ": help could not be written: " + e.getMessage());
            return EXIT_FAILURE;
        }
        writer.flush();
        return EXIT_OK;
    }

    private void printOverview(java.io.PrintStream stream) {
        stream.println("usage: " + PROGRAM + " COMMAND [options] [arguments]");
        stream.println();
        commands.values().forEach(command -> stream.printf("  %-13s %s%n", command.name(), command.summary()));
        stream.println();
        stream.println("Run '" + PROGRAM + " COMMAND --help' for the options of a command.");
    }
}
