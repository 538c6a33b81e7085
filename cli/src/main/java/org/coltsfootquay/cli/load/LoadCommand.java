package org.coltsfootquay.cli.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.cli.Command;
import org.coltsfootquay.cli.CommandException;
import org.coltsfootquay.cli.CommandRunner;
import org.coltsfootquay.cli.CommandUtils;
import org.coltsfootquay.cli.Console;
import org.coltsfootquay.cli.UsageException;

/**
 * Sends load to a running fleet whose engines are stand-ins, checks each answer and counts the outcomes.
 *
 * <p>Answers are compared with the texts that the stand-ins give; with other engines every answer would count as wrong.
 */
public final class LoadCommand implements Command {

    private static final int PROMPT_CHARS = 200;
    private static final int MAX_OUTSTANDING = 1_000;
    private static final int MAX_TOKENS = 10_000;
    private static final long MAX_SECONDS = 3_600;
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(60);

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "send load to a fleet with stand-ins, check each answer and count the outcomes";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "routers", true, "IP addresses and ports of routers, separated by commas")
                .addOption(null, "key", true, "bearer key of the workspace")
                .addOption(null, "model", true, "model service for streamed calls; absent: no such calls")
                .addOption(null, "class", true, "class of work of the streamed calls; absent: the default class")
                .addOption(null, "tokens", true, "output tokens of a streamed call; default: 20")
                .addOption(null, "booking", true, "path of bookings, some of them sent twice; absent: no bookings")
                .addOption(null, "outstanding", true, "calls outstanding at all times; default: 16")
                .addOption(null, "seconds", true, "length of the load; default: 10")
                .addOption(null, "seed", true, "seed of the calls; default: 1");
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CommandException, InterruptedException {
        List<String> routers =
                Arrays.asList(CommandUtils.option(line, "routers").split(","));
        long seconds = CommandUtils.number(line, "seconds", 1, MAX_SECONDS, 10);
        long seed = CommandUtils.number(line, "seed", 0, Long.MAX_VALUE, 1);
        WorkspaceLoad load = new WorkspaceLoad(
                "load",
                CommandUtils.option(line, "key"),
                profiles(line),
                (int) CommandUtils.number(line, "outstanding", 1, MAX_OUTSTANDING, 16),
                0,
                0,
                TimeUnit.SECONDS.toMillis(seconds),
                Optional.empty());
        try (LoadRun run = new LoadRun(routers, seed)) {
            run.start(load);
            for (long second = 1; second <= seconds; second++) {
                TimeUnit.SECONDS.sleep(1);
                console.report(
                        second + " s: " + run.results().size() + " calls ended, " + run.inFlight() + " in flight");
            }
            run.stop();
            boolean idle = run.awaitIdle(IDLE_LIMIT);
            if (run.failure().isPresent()) {
                throw new CommandException(
                        "the load generator failed: " + run.failure().get());
            }
            return report(run.results(), idle, console);
        }
    }

    private static List<CallProfile> profiles(CommandLine line) throws UsageException {
        List<CallProfile> profiles = new ArrayList<>();
        int tokens = (int) CommandUtils.number(line, "tokens", 1, MAX_TOKENS, 20);
        if (line.hasOption("model")) {
            profiles.add(new CallProfile(
                    line.getOptionValue("class", ""),
                    CallProfile.Type.STREAM,
                    line.getOptionValue("model"),
                    PROMPT_CHARS,
                    PROMPT_CHARS,
                    tokens,
                    tokens));
        }
        if (line.hasOption("booking")) {
            profiles.add(
                    new CallProfile("booking", CallProfile.Type.BOOKING, line.getOptionValue("booking"), 1, 1, 1, 1));
        }
        if (profiles.isEmpty()) {
            throw new UsageException("neither --model nor --booking is given; add one of them");
        }
        return profiles;
    }

    private static int report(List<CallResult> results, boolean idle, Console console) {
        Map<String, Long> outcomes = results.stream()
                .collect(Collectors.groupingBy(
                        result -> result.outcome().name().toLowerCase(Locale.ROOT)
                                + (result.detail().isEmpty() ? "" : ":" + result.detail()),
                        TreeMap::new,
                        Collectors.counting()));
        console.print("calls=" + results.size());
        outcomes.forEach((outcome, count) -> console.print(outcome + "=" + count));
        boolean wrong = results.stream().anyMatch(result -> result.outcome() == CallOutcome.WRONG_ANSWER);
        if (!idle) {
            console.print("calls without an answer " + IDLE_LIMIT.toSeconds() + " s after the end");
        }
        return wrong || !idle ? CommandRunner.EXIT_FAILURE : CommandRunner.EXIT_OK;
    }
}
