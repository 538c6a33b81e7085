package org.coltsfootquay.cli.explain;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Lines of one router's log that concern a request, with the changes of the router's state meanwhile.
 *
 * <p>A rejection for a part of a prompt leads to the quarantine of the part and the crashes behind it.
 *
 * <p>One router handles a request, so the order of its log is the order of events, and clocks are not compared.
 */
final class RequestStory {

    /** Lines before the request and after it in which changes of state are shown. */
    private static final int CONTEXT_LINES = 200;

    private static final Set<String> STATE_EVENTS = Set.of(
            "configuration_in_force",
            "evacuation_changed",
            "router_lost",
            "router_started",
            "router_stopping",
            "server_changed",
            "server_removed",
            "server_silent",
            "server_unreachable",
            "store_lost",
            "store_regained",
            "table_copied");

    private RequestStory() {}

    /** Returns the story as lines, empty if the log does not name the request. */
    static List<String> of(String requestId, List<String> log) {
        List<Optional<LogLine>> lines = log.stream().map(LogLine::parse).toList();
        int first = -1;
        int last = -1;
        for (int i = 0; i < lines.size(); i++) {
            if (names(lines.get(i), requestId)) {
                first = first < 0 ? i : first;
                last = i;
            }
        }
        if (first < 0) {
            return List.of();
        }
        List<String> story = new ArrayList<>();
        int to = Math.min(lines.size() - 1, last + CONTEXT_LINES);
        Set<Integer> causes = quarantineLines(requestId, lines.subList(0, last + 1));
        int from = Math.max(0, first - CONTEXT_LINES);
        causes.stream().filter(i -> i < from).forEach(i -> story.add("  " + log.get(i)));
        for (int i = from; i <= to; i++) {
            boolean own = names(lines.get(i), requestId);
            boolean state = lines.get(i)
                    .map(line -> STATE_EVENTS.contains(line.event()))
                    .orElse(false);
            if (own || state || causes.contains(i)) {
                story.add((own ? "* " : "  ") + log.get(i));
            }
        }
        return story;
    }

    /** Returns the indexes of the quarantines that rejected a request, and of the crashes behind them, in order. */
    private static Set<Integer> quarantineLines(String requestId, List<Optional<LogLine>> lines) {
        Set<String> parts = new HashSet<>();
        for (Optional<LogLine> line : lines) {
            if (names(line, requestId) && isEvent(line, "request_quarantined")) {
                parts.add(line.get().field("parts"));
            }
        }
        Set<Integer> indexes = new TreeSet<>();
        Set<String> servers = new HashSet<>();
        for (int i = 0; i < lines.size(); i++) {
            if (isEvent(lines.get(i), "part_quarantined")
                    && parts.contains(lines.get(i).get().field("parts"))) {
                indexes.add(i);
                servers.addAll(List.of(lines.get(i).get().field("servers").split(",", -1)));
            }
        }
        for (int i = 0; i < lines.size(); i++) {
            if (isEvent(lines.get(i), "server_crashed")
                    && servers.contains(lines.get(i).get().field("server"))) {
                indexes.add(i);
            }
        }
        return indexes;
    }

    private static boolean isEvent(Optional<LogLine> line, String event) {
        return line.map(parsed -> parsed.event().equals(event)).orElse(false);
    }

    private static boolean names(Optional<LogLine> line, String requestId) {
        return line.map(parsed -> parsed.field("request").equals(requestId)).orElse(false);
    }
}
