package org.coltsfootquay.cli.timeline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.router.timeline.TimelineEntry;

/** Finds pairs of events of different processes of which the first caused the second. */
final class CausalLinks {

    /** Causes by effect: a message travels between the two processes, so the cause comes first. */
    private static final Map<EventKind, List<EventKind>> CAUSES = Map.of(
            EventKind.REQUEST_QUEUED, List.of(EventKind.REQUEST_FORWARDED),
            EventKind.REQUEST_GRANTED, List.of(EventKind.REQUEST_FORWARDED),
            EventKind.REQUEST_DISPATCHED, List.of(EventKind.REQUEST_GRANTED));

    private CausalLinks() {}

    /**
     * Pair of events of different processes.
     *
     * @param cause earlier event
     * @param effect later event
     */
    record Link(TimelineEntry cause, TimelineEntry effect) {}

    /**
     * Finds the links between entries that are about the same attempt of a request.
     *
     * @param entries entries of all processes
     * @return links
     */
    static List<Link> find(List<TimelineEntry> entries) {
        Map<Key, TimelineEntry> first = new HashMap<>();
        entries.forEach(entry -> key(entry, entry.event().kind()).ifPresent(key -> first.putIfAbsent(key, entry)));
        List<Link> links = new ArrayList<>();
        for (TimelineEntry effect : entries) {
            for (EventKind kind : CAUSES.getOrDefault(effect.event().kind(), List.of())) {
                key(effect, kind)
                        .map(first::get)
                        .filter(Objects::nonNull)
                        .filter(cause -> !cause.process().equals(effect.process()))
                        .ifPresent(cause -> links.add(new Link(cause, effect)));
            }
        }
        return links;
    }

    private static Optional<Key> key(TimelineEntry entry, EventKind kind) {
        Map<String, String> fields = entry.event().fields();
        return fields.containsKey("request") && fields.containsKey("attempt")
                ? Optional.of(new Key(fields.get("request"), fields.get("attempt"), kind))
                : Optional.empty();
    }

    private record Key(String request, String attempt, EventKind kind) {}
}
