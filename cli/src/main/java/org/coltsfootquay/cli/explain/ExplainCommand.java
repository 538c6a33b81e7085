package org.coltsfootquay.cli.explain;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.cli.Command;
import org.coltsfootquay.cli.CommandException;
import org.coltsfootquay.cli.CommandRunner;
import org.coltsfootquay.cli.Console;
import org.coltsfootquay.cli.UsageException;

/** Prints what the logs of routers say of one request. */
public final class ExplainCommand implements Command {

    /** Creates the command. */
    public ExplainCommand() {
        // The command has no state.
    }

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "REQUEST_ID LOG...";
    }

    @Override
    public String summary() {
        return "print what the logs of routers say of one request";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CommandException {
        List<String> arguments = line.getArgList();
        if (arguments.size() < 2) {
            throw new UsageException("explain needs a request id and at least one log file");
        }
        String requestId = arguments.get(0);
        boolean found = false;
        for (String file : arguments.subList(1, arguments.size())) {
            List<String> story = RequestStory.of(requestId, read(file));
            if (!story.isEmpty()) {
                found = true;
                console.print(file + ":");
                story.forEach(console::print);
            }
        }
        if (!found) {
            throw new CommandException("no log names request " + requestId
                    + "; add the logs of all routers, and check that they go back far enough");
        }
        return CommandRunner.EXIT_OK;
    }

    private static List<String> read(String file) throws CommandException {
        try {
            return Files.readAllLines(Path.of(file));
        } catch (IOException e) {
            throw new CommandException("cannot read " + file + ": " + e.getMessage() + "; pass a readable log file", e);
        }
    }
}
