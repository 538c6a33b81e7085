package org.coltsfootquay.cli.timeline;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootquay.cli.Command;
import org.coltsfootquay.cli.CommandException;
import org.coltsfootquay.cli.CommandRunner;
import org.coltsfootquay.cli.Console;
import org.coltsfootquay.cli.UsageException;
import org.coltsfootquay.cli.operator.OperatorClient;
import org.coltsfootquay.router.timeline.TimelineEntry;
import org.coltsfootquay.router.timeline.TimelineJsonUtils;

/** Merges the time lines of all processes and answers what happened to a request, a workspace or a server. */
public final class TimelineCommand implements Command {

    private static final List<String> FILTERS = List.of("request", "workspace", "server", "service", "zone");
    private static final Map<String, TimelinePrinter> PRINTERS =
            Map.of("text", TimelinePrinter.TEXT, "json", TimelinePrinter.JSON, "html", TimelinePrinter.HTML);

    @Override
    public String name() {
        return "timeline";
    }

    @Override
    public String arguments() {
        return "[FILE...]";
    }

    @Override
    public String summary() {
        return "merge the time lines of all routers, or of files with JSON lines, into one order";
    }

    @Override
    public Options options() {
        Options options = OperatorClient.options()
                .addOption(null, "format", true, "text, json or html; default: text")
                .addOption(null, "output", true, "file to write; default: standard output");
        FILTERS.forEach(field -> options.addOption(null, field, true, "only events about this " + field));
        return options;
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CommandException, InterruptedException {
        TimelinePrinter printer = PRINTERS.get(line.getOptionValue("format", "text"));
        if (printer == null) {
            throw new UsageException("--format is '" + line.getOptionValue("format") + "'; use text, json or html");
        }
        List<TimelineEntry> entries = new ArrayList<>();
        for (String file : line.getArgList()) {
            entries.addAll(parse(file, readFile(file), console));
        }
        if (line.hasOption("router")) {
            entries.addAll(fetchAll(OperatorClient.of(line), console));
        }
        if (line.getArgList().isEmpty() && !line.hasOption("router")) {
            throw new UsageException("neither --router nor a file is given; add one of them");
        }
        MergedTimeline merged = MergedTimeline.of(entries).about(condition(line));
        write(line, printer.print(merged), console);
        return CommandRunner.EXIT_OK;
    }

    private static Predicate<TimelineEntry> condition(CommandLine line) {
        return entry -> FILTERS.stream()
                .filter(line::hasOption)
                .allMatch(field ->
                        line.getOptionValue(field).equals(entry.event().fields().get(field)));
    }

    private static List<TimelineEntry> fetchAll(OperatorClient client, Console console)
            throws CommandException, InterruptedException {
        Set<String> routers = new LinkedHashSet<>();
        JsonNode answer = OperatorClient.json(client.send("GET", "/v1/addresses"));
        answer.path("addresses")
                .forEach(entry -> routers.add(
                        entry.isTextual()
                                ? entry.asText()
                                : entry.path("address").asText()));
        List<TimelineEntry> entries = new ArrayList<>();
        for (String router : routers) {
            try {
                String lines = client.forRouter(router).send("GET", "/v1/operator/timeline");
                entries.addAll(parse(router, lines, console));
            } catch (CommandException e) {
                console.report("time line of " + router + " is missing: " + e.getMessage());
            }
        }
        return entries;
    }

    private static List<TimelineEntry> parse(String source, String lines, Console console) {
        List<TimelineEntry> entries = new ArrayList<>();
        int unreadable = 0;
        for (String entryLine : lines.lines().filter(text -> !text.isBlank()).toList()) {
            Either<String, TimelineEntry> entry = TimelineJsonUtils.read(entryLine);
            entry.forEach(entries::add);
            unreadable += entry.isLeft() ? 1 : 0;
        }
        if (unreadable > 0) {
            console.report(source + ": " + unreadable + " lines are not time line entries and were left out");
        }
        return entries;
    }

    private static String readFile(String file) throws UsageException {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new UsageException("file " + file + " cannot be read (" + e + "); pass a readable file");
        }
    }

    private static void write(CommandLine line, String text, Console console) throws CommandException {
        if (!line.hasOption("output")) {
            console.print(text);
            return;
        }
        try {
            Files.writeString(Path.of(line.getOptionValue("output")), text);
        } catch (IOException e) {
            throw new CommandException("--output cannot be written (" + e + "); pass a writable file", e);
        }
    }
}
