package org.coltsfootquay.cli.timeline;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.temporal.ChronoUnit;
import java.util.Locale;
import java.util.stream.Collectors;
import org.coltsfootquay.router.timeline.TimelineEntry;
import org.coltsfootquay.router.timeline.TimelineJsonUtils;

/** Form in which a merged time line is printed. */
@FunctionalInterface
public interface TimelinePrinter {

    /** One readable line an event. */
    TimelinePrinter TEXT = timeline ->
            timeline.moments().stream().map(TimelinePrinter::textLine).collect(Collectors.joining("\n"));

    /** One JSON object a line, with the clocks of the processes as they were. */
    TimelinePrinter JSON = timeline -> timeline.moments().stream()
            .map(moment -> TimelineJsonUtils.write(moment.entry()))
            .collect(Collectors.joining("\n"));

    /** One static page: a row an event, a column a process. */
    TimelinePrinter HTML = new HtmlTimelinePrinter();

    /**
     * Prints a time line.
     *
     * @param timeline merged time line
     * @return text
     */
    String print(MergedTimeline timeline);

    /**
     * Formats a time.
     *
     * @param micros microseconds since the epoch
     * @return time of day in UTC with milliseconds
     */
    static String clock(long micros) {
        return DateTimeFormatter.ofPattern("HH:mm:ss.SSS", Locale.ROOT)
                .withZone(ZoneOffset.UTC)
                .format(Instant.EPOCH.plus(micros, ChronoUnit.MICROS));
    }

    /**
     * Formats the fields of an event.
     *
     * @param entry entry
     * @return pairs of name and value
     */
    static String fields(TimelineEntry entry) {
        return entry.event().fields().entrySet().stream()
                .map(field -> field.getKey() + "=" + field.getValue())
                .collect(Collectors.joining(" "));
    }

    private static String textLine(MergedTimeline.Moment moment) {
        TimelineEntry entry = moment.entry();
        return String.format(
                Locale.ROOT,
                "%s %-14s %-22s %s",
                clock(moment.micros()),
                entry.process(),
                entry.event().kind().label(),
                fields(entry));
    }
}
