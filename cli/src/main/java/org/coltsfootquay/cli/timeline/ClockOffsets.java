package org.coltsfootquay.cli.timeline;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.coltsfootquay.router.timeline.TimelineEntry;

/**
 * Estimated offsets between the clocks of processes.
 *
 * <p>For two processes that sent messages in both directions, half the difference of the smallest apparent delays is
 * the offset, as in the Network Time Protocol; its error is at most half of the smallest round trip. With messages in
 * one direction only, the offset is the smallest correction that lets no effect come before its cause.
 */
final class ClockOffsets {

    private final Map<String, Long> micros = new HashMap<>();

    private ClockOffsets() {}

    /**
     * Estimates the offsets of all processes to a reference process of each connected group.
     *
     * @param entries entries of all processes
     * @param links causal links between them
     * @return offsets
     */
    static ClockOffsets estimate(List<TimelineEntry> entries, List<CausalLinks.Link> links) {
        Map<Pair, Long> smallestDelay = new HashMap<>();
        for (CausalLinks.Link link : links) {
            Pair pair = new Pair(link.cause().process(), link.effect().process());
            long delay = link.effect().epochMicros() - link.cause().epochMicros();
            smallestDelay.merge(pair, delay, Math::min);
        }
        ClockOffsets offsets = new ClockOffsets();
        Set<String> processes = new TreeSet<>();
        entries.forEach(entry -> processes.add(entry.process()));
        for (String process : processes) {
            if (offsets.micros.putIfAbsent(process, 0L) == null) {
                offsets.spread(process, processes, smallestDelay);
            }
        }
        return offsets;
    }

    /**
     * Returns the time of an entry by the clock of the reference process.
     *
     * @param entry entry
     * @return microseconds since the epoch
     */
    long corrected(TimelineEntry entry) {
        return entry.epochMicros() - offset(entry.process());
    }

    /**
     * Returns the estimated offset of a process.
     *
     * @param process identifier of the process
     * @return microseconds by which its clock is ahead of the reference process
     */
    long offset(String process) {
        return micros.getOrDefault(process, 0L);
    }

    private void spread(String reference, Set<String> processes, Map<Pair, Long> smallestDelay) {
        Deque<String> open = new ArrayDeque<>(List.of(reference));
        while (!open.isEmpty()) {
            String from = open.remove();
            for (String to : processes) {
                Long forward = smallestDelay.get(new Pair(from, to));
                Long backward = smallestDelay.get(new Pair(to, from));
                if ((forward != null || backward != null) && !micros.containsKey(to)) {
                    micros.put(to, micros.get(from) + difference(forward, backward));
                    open.add(to);
                }
            }
        }
    }

    private static long difference(Long forward, Long backward) {
        if (forward != null && backward != null) {
            return (forward - backward) / 2;
        }
        return forward != null ? Math.min(0, forward) : Math.max(0, -backward);
    }

    private record Pair(String from, String to) {}
}
