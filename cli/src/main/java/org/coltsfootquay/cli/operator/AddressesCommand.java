package org.coltsfootquay.cli.operator;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.cli.Command;
import org.coltsfootquay.cli.CommandException;
import org.coltsfootquay.cli.CommandRunner;
import org.coltsfootquay.cli.Console;
import org.coltsfootquay.cli.UsageException;

/** Prints the router addresses that callers are told to use. */
public final class AddressesCommand implements Command {

    @Override
    public String name() {
        return "addresses";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "print the router addresses that callers are told to use";
    }

    @Override
    public Options options() {
        return OperatorClient.options();
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CommandException, InterruptedException {
        console.print(OperatorClient.of(line).send("GET", "/v1/addresses"));
        return CommandRunner.EXIT_OK;
    }
}
