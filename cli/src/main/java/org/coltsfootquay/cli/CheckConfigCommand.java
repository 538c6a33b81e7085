package org.coltsfootquay.cli;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.router.node.NodeSettings;
import org.coltsfootquay.router.settings.FleetConfigurationReader;
import org.coltsfootquay.router.settings.RouterSettings;
import org.coltsfootquay.settings.SettingsException;
import org.coltsfootquay.settings.SettingsReader;

/** Checks a fleet configuration, or the settings of a router, without applying it. */
public final class CheckConfigCommand implements Command {

    @Override
    public String name() {
        return "check-config";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "check a fleet configuration file, or with --router the settings file of a router";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "router", false, "the file contains the settings of a router")
                .addOption(null, "node", false, "the file contains the settings of a router that forwards directly");
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException {
        Path file = Path.of(CommandUtils.argument(line, 0, "FILE"));
        try {
            if (line.hasOption("node")) {
                NodeSettings settings = SettingsReader.readFile(file, NodeSettings::read);
                console.print(file + ": correct settings of forwarding router " + settings.id());
            } else if (line.hasOption("router")) {
                RouterSettings settings = SettingsReader.readFile(file, RouterSettings::read);
                console.print(file + ": correct settings of router " + settings.id());
            } else {
                FleetConfiguration configuration = SettingsReader.readFile(file, FleetConfigurationReader::fromObject);
                console.print(file + ": correct; " + configuration.zones().size() + " zones, "
                        + configuration.services().size() + " services, "
                        + configuration.servers().size() + " servers, "
                        + configuration.classes().size() + " classes, "
                        + configuration.workspaces().size() + " workspaces");
            }
            return CommandRunner.EXIT_OK;
        } catch (SettingsException e) {
            throw new UsageException(e.getMessage());
        }
    }
}
