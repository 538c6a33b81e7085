package org.coltsfootquay.cli.timeline;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.coltsfootquay.router.timeline.TimelineEntry;

/** Events of all processes in one order that keeps the order of each process and puts causes before effects. */
public final class MergedTimeline {

    private static final String REQUEST = "request";

    private final List<Moment> moments;
    private final Map<String, Long> offsetsMicros;

    private MergedTimeline(List<Moment> moments, Map<String, Long> offsetsMicros) {
        this.moments = List.copyOf(moments);
        this.offsetsMicros = Map.copyOf(offsetsMicros);
    }

    /**
     * Event at its corrected time.
     *
     * @param micros time by the clock of the reference process, in microseconds since the epoch
     * @param entry entry
     */
    public record Moment(long micros, TimelineEntry entry) {}

    /**
     * Merges the entries of all processes.
     *
     * @param entries entries in any order; repeated ones count once
     * @return the merged time line
     */
    public static MergedTimeline of(List<TimelineEntry> entries) {
        List<TimelineEntry> distinct = entries.stream().distinct().toList();
        List<CausalLinks.Link> links = CausalLinks.find(distinct);
        ClockOffsets offsets = ClockOffsets.estimate(distinct, links);
        Map<TimelineEntry, List<TimelineEntry>> causes = new HashMap<>();
        links.forEach(link ->
                causes.computeIfAbsent(link.effect(), key -> new ArrayList<>()).add(link.cause()));
        List<TimelineEntry> sorted = distinct.stream()
                .sorted(Comparator.comparingLong(offsets::corrected)
                        .thenComparing(TimelineEntry::process)
                        .thenComparingLong(TimelineEntry::sequence))
                .toList();
        Map<String, Long> offsetsMicros = new HashMap<>();
        distinct.forEach(entry -> offsetsMicros.put(entry.process(), offsets.offset(entry.process())));
        return new MergedTimeline(new Ordering(offsets, causes).order(sorted), offsetsMicros);
    }

    /**
     * Returns the events in their order.
     *
     * @return events
     */
    public List<Moment> moments() {
        return moments;
    }

    /**
     * Returns the estimated clock offsets.
     *
     * @return microseconds by which the clock of each process is ahead of the reference process
     */
    public Map<String, Long> offsetsMicros() {
        return offsetsMicros;
    }

    /**
     * Returns the events that meet a condition.
     *
     * @param condition condition
     * @return time line with the same order and offsets
     */
    public MergedTimeline filter(Predicate<TimelineEntry> condition) {
        return new MergedTimeline(
                moments.stream()
                        .filter(moment -> condition.test(moment.entry()))
                        .toList(),
                offsetsMicros);
    }

    /**
     * Returns the events that meet a condition and all other events about the same requests; the owner of a server, for
     * example, records requests without their workspace.
     *
     * @param condition condition
     * @return time line with the same order and offsets
     */
    public MergedTimeline about(Predicate<TimelineEntry> condition) {
        Set<String> requests = moments.stream()
                .map(Moment::entry)
                .filter(condition)
                .map(entry -> entry.event().fields().get(REQUEST))
                .filter(Objects::nonNull)
                .collect(Collectors.toSet());
        return filter(entry -> condition.test(entry)
                || requests.contains(entry.event().fields().getOrDefault(REQUEST, "")));
    }

    /** Orders entries by time after raising the time of an effect to that of its latest cause. */
    private static final class Ordering {

        private final ClockOffsets offsets;
        private final Map<TimelineEntry, List<TimelineEntry>> causes;
        private final Map<TimelineEntry, Long> times = new HashMap<>();

        private Ordering(ClockOffsets offsets, Map<TimelineEntry, List<TimelineEntry>> causes) {
            this.offsets = offsets;
            this.causes = causes;
        }

        private List<Moment> order(List<TimelineEntry> sorted) {
            sorted.forEach(entry -> time(entry, 0));
            Map<TimelineEntry, Integer> depths = new HashMap<>();
            sorted.forEach(entry -> depths.put(entry, depth(entry, 0)));
            return sorted.stream()
                    .sorted(Comparator.<TimelineEntry>comparingLong(times::get).thenComparingInt(depths::get))
                    .map(entry -> new Moment(times.get(entry), entry))
                    .toList();
        }

        private long time(TimelineEntry entry, int depth) {
            Long known = times.get(entry);
            if (known != null) {
                return known;
            }
            long time = offsets.corrected(entry);
            // A chain of causes has at most three links; the bound stops a loop made by a broken entry.
            if (depth < 4) {
                for (TimelineEntry cause : causes.getOrDefault(entry, List.of())) {
                    time = Math.max(time, time(cause, depth + 1));
                }
            }
            times.put(entry, time);
            return time;
        }

        private int depth(TimelineEntry entry, int level) {
            int depth = 0;
            if (level < 4) {
                for (TimelineEntry cause : causes.getOrDefault(entry, List.of())) {
                    depth = Math.max(depth, 1 + depth(cause, level + 1));
                }
            }
            return depth;
        }
    }
}
