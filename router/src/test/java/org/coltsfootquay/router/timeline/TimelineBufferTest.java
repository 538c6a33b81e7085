package org.coltsfootquay.router.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.junit.jupiter.api.Test;

/** Verifies that a timeline does not grow without bound and that its JSON form loses no fields. */
final class TimelineBufferTest {

    private static TimelineBuffer filled(int capacity, int events) {
        TimelineBuffer buffer = new TimelineBuffer("r1", capacity, () -> 42, entry -> {});
        for (int i = 0; i < events; i++) {
            buffer.record(TimelineEvent.of(EventKind.REQUEST_ADMITTED, "request", i));
        }
        return buffer;
    }

    @Test
    void onlyTheNewestEventsAreRetained() {
        List<Long> sequences =
                filled(4, 10).read(0, 100).stream().map(TimelineEntry::sequence).toList();
        assertEquals(List.of(6L, 7L, 8L, 9L), sequences);
    }

    @Test
    void readContinuesAtTheGivenSequence() {
        assertEquals(2, filled(100, 10).read(8, 100).size());
    }

    @Test
    void writtenEntryIsReadBackEqual() {
        TimelineEntry entry = filled(4, 1).read(0, 1).get(0);
        assertEquals(Either.right(entry), TimelineJsonUtils.read(TimelineJsonUtils.write(entry)));
    }

    @Test
    void lineOfUnknownKindIsRejectedWithAMessage() {
        assertTrue(TimelineJsonUtils.read("{\"kind\": \"other\"}").isLeft());
    }
}
