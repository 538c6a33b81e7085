package org.coltsfootquay.cli.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Lines of one router's log that concern a request, with the changes of the router's state meanwhile.
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
        for (int i = Math.max(0, first - CONTEXT_LINES); i <= to; i++) {
            boolean own = names(lines.get(i), requestId);
            boolean state = lines.get(i)
                    .map(line -> STATE_EVENTS.contains(line.event()))
                    .orElse(false);
            if (own || state) {
                story.add((own ? "* " : "  ") + log.get(i));
            }
        }
        return story;
    }

    private static boolean names(Optional<LogLine> line, String requestId) {
        return line.map(parsed -> parsed.field("request").equals(requestId)).orElse(false);
    }
}
