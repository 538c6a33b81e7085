package org.coltsfootquay.cli.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.cli.Command;
import org.coltsfootquay.cli.CommandException;
import org.coltsfootquay.cli.CommandRunner;
import org.coltsfootquay.cli.CommandUtils;
import org.coltsfootquay.cli.Console;
import org.coltsfootquay.cli.UsageException;
import org.coltsfootquay.router.settings.FleetConfigurationReader;
import org.coltsfootquay.settings.SettingsException;

/** Shows, replaces and lists versions of the fleet configuration. */
public final class ConfigCommand implements Command {

    @Override
    public String name() {
        return "config";
    }

    @Override
    public String arguments() {
        return "put FILE | show | history";
    }

    @Override
    public String summary() {
        return "show, replace or list versions of the fleet configuration";
    }

    @Override
    public Options options() {
        return OperatorClient.options()
                .addOption(
                        null,
                        "expect",
                        true,
                        "for put: version that the change was made from; default: the version in force");
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CommandException, InterruptedException {
        String action = CommandUtils.argument(line, 0, "put, show or history");
        OperatorClient client = OperatorClient.of(line);
        switch (action) {
            case "show" -> console.print(client.send("GET", "/v1/operator/configuration"));
            case "history" -> console.print(client.send("GET", "/v1/operator/configuration/history"));
            case "put" -> console.print(put(line, client));
            default -> throw new UsageException("unknown action '" + action + "'; use put FILE, show or history");
        }
        return CommandRunner.EXIT_OK;
    }

    private static String put(CommandLine line, OperatorClient client)
            throws UsageException, CommandException, InterruptedException {
        Path file = Path.of(CommandUtils.argument(line, 1, "FILE"));
        String text;
        try {
            text = Files.readString(file);
            FleetConfigurationReader.read(file.toString(), text);
        } catch (IOException e) {
            throw new UsageException("file " + file + " cannot be read (" + e + "); pass a readable file");
        } catch (SettingsException e) {
            throw new UsageException(e.getMessage());
        }
        long inForce = OperatorClient.json(client.send("GET", "/v1/operator/configuration"))
                .path("version")
                .asLong();
        return client.putConfiguration(CommandUtils.number(line, "expect", 0, Long.MAX_VALUE, inForce), text);
    }
}
