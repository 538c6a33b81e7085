package org.coltsfootquay.cli;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.router.daemon.PlatformPorts;
import org.coltsfootquay.router.daemon.RouterDaemon;
import org.coltsfootquay.router.daemon.RouterOptions;
import org.coltsfootquay.router.settings.RouterSettings;

/** Runs one router until SIGTERM or SIGINT, which begin a planned stop. */
public final class RouterCommand implements Command {

    @Override
    public String name() {
        return "router";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "run one router of the fleet";
    }

    @Override
    public Options options() {
        return new Options().addOption(null, "settings", true, "settings file of the router");
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CommandException, InterruptedException {
        RouterSettings settings = CommandUtils.settings(line, RouterSettings::read);
        LogUtils.writeTo(console.out(), Level.INFO);
        RouterDaemon router = new RouterDaemon(
                settings,
                RouterOptions.defaults(PlatformPorts.overHttp(
                        settings.timing().platformTimeout(), settings.id().hashCode())));
        try {
            router.start().join();
        } catch (CompletionException e) {
            router.kill();
            throw new CommandException(
                    e.getCause() == null ? e.getMessage() : e.getCause().getMessage(), e);
        }
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            router.stop().join();
            ended.countDown();
        }));
        ended.await();
        return CommandRunner.EXIT_OK;
    }
}
