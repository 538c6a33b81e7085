package org.coltsfootquay.cli;

import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.settings.SettingsObject;
import org.coltsfootquay.standin.application.ApplicationSettings;
import org.coltsfootquay.standin.application.ApplicationStandIn;
import org.coltsfootquay.standin.engine.EngineSettings;
import org.coltsfootquay.standin.engine.EngineStandIn;
import org.coltsfootquay.standin.platform.PlatformSettings;
import org.coltsfootquay.standin.platform.PlatformStandIn;
import org.coltsfootquay.standin.settings.SettingsJson;

/** Runs one stand-in as a process until it is interrupted. */
public final class StandInCommand implements Command {

    /** Kinds of stand-ins. */
    private enum Kind {
        PLATFORM,
        ENGINE,
        APPLICATION
    }

    /** Stand-in that listens, and how to end it. */
    private record Running(String address, Runnable close) {}

    /** Starts a stand-in on a port. */
    private interface Starter {
        Running start(int port);
    }

    private record Plan(Kind kind, int port, Starter starter) {}

    @Override
    public String name() {
        return "stand-in";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "run a stand-in for the platform, a model engine or an application server";
    }

    @Override
    public Options options() {
        return new Options().addOption(null, "settings", true, "settings file of the stand-in");
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CommandException, InterruptedException {
        Plan plan = CommandUtils.settings(line, StandInCommand::read);
        Running running;
        try {
            running = plan.starter.start(plan.port);
        } catch (RuntimeException e) {
            throw new CommandException(
                    "port " + plan.port + " cannot be used (" + e.getMessage() + "); free it or change the address", e);
        }
        console.print("event=stand_in_ready kind=" + plan.kind.name().toLowerCase(Locale.ROOT) + " address="
                + running.address);
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            running.close.run();
            ended.countDown();
        }));
        ended.await();
        return CommandRunner.EXIT_OK;
    }

    private static Plan read(SettingsObject root) {
        Kind kind = root.constant("kind", Kind.class, null);
        int port = (int) root.number("port", 1, 65535);
        Starter starter = switch (kind) {
            case PLATFORM -> {
                PlatformSettings settings = values(root, PlatformSettings.defaults());
                yield toListen -> {
                    PlatformStandIn standIn = new PlatformStandIn(settings, System::nanoTime).start(toListen);
                    return new Running(standIn.address(), standIn::close);
                };
            }
            case ENGINE -> {
                EngineSettings settings = values(root, EngineSettings.defaults());
                yield toListen -> {
                    EngineStandIn standIn = new EngineStandIn(settings).start(toListen);
                    return new Running(standIn.address(), standIn::close);
                };
            }
            case APPLICATION -> {
                ApplicationSettings settings = values(root, ApplicationSettings.defaults());
                yield toListen -> {
                    ApplicationStandIn standIn = new ApplicationStandIn(settings).start(toListen);
                    return new Running(standIn.address(), standIn::close);
                };
            }
        };
        return new Plan(kind, port, starter);
    }

    private static <R extends Record> R values(SettingsObject root, R defaults) {
        return root.object("values", object -> SettingsJson.read(object, defaults))
                .orElse(defaults);
    }
}
