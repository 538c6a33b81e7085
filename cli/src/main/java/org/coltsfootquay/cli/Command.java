package org.coltsfootquay.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One command of the command line. */
public interface Command {

    /**
     * Returns the name that is typed.
     *
     * @return name, lower case
     */
    String name();

    /**
     * Returns the arguments after the name, for the usage line.
     *
     * @return arguments, for example {@code FILE}; empty without arguments
     */
    String arguments();

    /**
     * Returns a sentence that says what the command does.
     *
     * @return summary
     */
    String summary();

    /**
     * Returns the options besides {@code --help}.
     *
     * @return options
     */
    Options options();

    /**
     * Runs the command.
     *
     * @param line parsed options and arguments
     * @param console output
     * @return exit code
     * @throws UsageException if options or arguments are wrong
     * @throws CommandException if the command failed; the message names the remedy
     * @throws InterruptedException if the thread is interrupted
     */
    int run(CommandLine line, Console console) throws UsageException, CommandException, InterruptedException;
}
