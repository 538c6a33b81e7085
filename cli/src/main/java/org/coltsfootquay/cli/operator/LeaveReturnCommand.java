package org.coltsfootquay.cli.operator;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.cli.Command;
import org.coltsfootquay.cli.CommandException;
import org.coltsfootquay.cli.CommandRunner;
import org.coltsfootquay.cli.CommandUtils;
import org.coltsfootquay.cli.Console;
import org.coltsfootquay.cli.UsageException;

/** Takes a zone or a backend server out of service or brings it back. */
public final class LeaveReturnCommand implements Command {

    private final String name;
    private final String collection;

    private LeaveReturnCommand(String name, String collection) {
        this.name = name;
        this.collection = collection;
    }

    /**
     * Creates the command for zones.
     *
     * @return the command
     */
    public static LeaveReturnCommand zone() {
        return new LeaveReturnCommand("zone", "zones");
    }

    /**
     * Creates the command for backend servers.
     *
     * @return the command
     */
    public static LeaveReturnCommand server() {
        return new LeaveReturnCommand("server", "servers");
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String arguments() {
        return "leave NAME | return NAME";
    }

    @Override
    public String summary() {
        return "take a " + name + " out of service or bring it back";
    }

    @Override
    public Options options() {
        return OperatorClient.options();
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CommandException, InterruptedException {
        String action = CommandUtils.argument(line, 0, "leave or return");
        String member = CommandUtils.argument(line, 1, "NAME");
        if (!action.equals("leave") && !action.equals("return")) {
            throw new UsageException("unknown action '" + action + "'; use leave NAME or return NAME");
        }
        if (!member.matches("[a-z0-9._-]+")) {
            throw new UsageException("'" + member + "' is not a name; see 'config show' for the names in use");
        }
        OperatorClient client = OperatorClient.of(line);
        console.print(client.send("POST", "/v1/operator/" + collection + "/" + member + "/" + action));
        return CommandRunner.EXIT_OK;
    }
}
