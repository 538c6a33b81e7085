package org.coltsfootquay.cli.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.router.timeline.TimelineEntry;
import org.junit.jupiter.api.Test;

/** Guards against a merged order in which an effect comes before its cause because clocks differ. */
final class MergedTimelineTest {

    private static final long DELAY_MICROS = 1500;

    private static TimelineEntry entry(String process, long sequence, long micros, EventKind kind, String request) {
        return new TimelineEntry(process, sequence, micros, TimelineEvent.of(kind, "request", request, "attempt", 1));
    }

    /** Five requests that enter at r1, are granted by r2 whose clock is ahead, and are sent by r1. */
    private static List<TimelineEntry> requests(long aheadMicros) {
        List<TimelineEntry> entries = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            long start = 1_000_000L + i * 20_000L;
            String request = "q" + i;
            entries.add(entry("r1", 2L * i, start, EventKind.REQUEST_FORWARDED, request));
            entries.add(entry("r2", i, start + DELAY_MICROS + aheadMicros, EventKind.REQUEST_GRANTED, request));
            entries.add(entry("r1", 2L * i + 1, start + 2 * DELAY_MICROS, EventKind.REQUEST_DISPATCHED, request));
        }
        return entries;
    }

    @Property(seed = "20261204", tries = 100)
    void causesComeBeforeEffectsWhateverTheOffset(
            @ForAll @LongRange(min = -5_000_000, max = 5_000_000) long aheadMicros, @ForAll long shuffleSeed) {
        List<TimelineEntry> entries = requests(aheadMicros);
        Collections.shuffle(entries, new Random(shuffleSeed));

        List<EventKind> kinds = MergedTimeline.of(entries).moments().stream()
                .map(moment -> moment.entry().event().kind())
                .toList();

        for (int i = 0; i < kinds.size(); i += 3) {
            assertEquals(
                    List.of(EventKind.REQUEST_FORWARDED, EventKind.REQUEST_GRANTED, EventKind.REQUEST_DISPATCHED),
                    kinds.subList(i, i + 3));
        }
    }

    @Property(seed = "20261204", tries = 50)
    void offsetIsFoundFromMessagesInBothDirections(
            @ForAll @LongRange(min = -5_000_000, max = 5_000_000) long aheadMicros) {
        assertEquals(
                aheadMicros,
                MergedTimeline.of(requests(aheadMicros)).offsetsMicros().get("r2"));
    }

    @Test
    void filterKeepsOnlyEventsOfOneRequest() {
        MergedTimeline filtered = MergedTimeline.of(requests(0))
                .filter(entry -> "q3".equals(entry.event().fields().get("request")));
        assertEquals(3, filtered.moments().size());
    }

    @Test
    void eventsOfOtherProcessesAboutTheSameRequestAreKept() {
        List<TimelineEntry> entries = new ArrayList<>(requests(0));
        entries.add(new TimelineEntry(
                "r1", 99, 1, TimelineEvent.of(EventKind.REQUEST_ADMITTED, "request", "q3", "workspace", "w")));
        MergedTimeline about = MergedTimeline.of(entries)
                .about(entry -> "w".equals(entry.event().fields().get("workspace")));
        assertEquals(4, about.moments().size());
    }

    @Test
    void pageEscapesFieldValues() {
        TimelineEntry hostile = new TimelineEntry(
                "r1", 0, 0, TimelineEvent.of(EventKind.REQUEST_REFUSED, "reason", "<script>alert(1)</script>"));
        String page = TimelinePrinter.HTML.print(MergedTimeline.of(List.of(hostile)));
        assertFalse(page.contains("<script>"));
        assertTrue(page.contains("&lt;script&gt;"));
    }
}
