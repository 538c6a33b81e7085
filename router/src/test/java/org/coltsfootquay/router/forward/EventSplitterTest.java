package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Verifies that no partial event is passed on when a stream is interrupted. */
final class EventSplitterTest {

    private final EventSplitter splitter = new EventSplitter();

    @Test
    void eventIsBufferedUntilItIsComplete() {
        assertEquals("", add("id: 1\nda"));
        assertEquals("id: 1\ndata: a\n\n", add("ta: a\n\nid: 2"));
    }

    @Test
    void severalEventsAreReturnedTogether() {
        assertEquals("id: 1\n\nid: 2\n\n", add("id: 1\n\nid: 2\n\nid"));
        assertEquals(Optional.of("2"), splitter.lastId());
    }

    @Test
    void linesMayEndWithCarriageReturns() {
        assertEquals("id: 7\r\ndata: a\r\n\r\n", add("id: 7\r\ndata: a\r\n\r\n"));
        assertEquals(Optional.of("7"), splitter.lastId());
    }

    @Test
    void idOfAnIncompleteEventIsIgnored() {
        add("id: 1\n\nid: 2\nda");
        assertEquals(Optional.of("1"), splitter.lastId());
    }

    @Test
    void takenIncompleteEventIsDiscarded() {
        add("id: 1\n\nid: 2\nda");
        assertEquals("id: 2\nda", new String(splitter.takeIncomplete(), StandardCharsets.UTF_8));
        assertEquals("id: 2\n\n", add("id: 2\n\n"));
    }

    @Test
    void bytewiseInputGivesTheSameEvents() {
        StringBuilder events = new StringBuilder();
        for (char c : "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".toCharArray()) {
            events.append(add(String.valueOf(c)));
        }
        assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", events.toString());
    }

    @Test
    void idsMayIncreaseBySeveral() {
        add("id: 4\n\nid: 8\n\n");
        splitter.resume();
        add("id: 12\n\nid: 13\n\n");
        assertFalse(splitter.outOfOrder());
    }

    @Test
    void repeatedIdIsOutOfOrder() {
        add("id: 1\n\nid: 2\n\n");
        splitter.resume();
        add("id: 1\n\n");
        assertTrue(splitter.outOfOrder());
    }

    @Test
    void gapAfterResumptionIsOutOfOrder() {
        add("id: 1\n\nid: 2\n\n");
        splitter.resume();
        add("id: 4\n\n");
        assertTrue(splitter.outOfOrder());
    }

    @Test
    void idsThatAreNoNumbersHaveNoOrder() {
        add("id: b\n\nid: a\n\n");
        assertFalse(splitter.outOfOrder());
    }

    private String add(String text) {
        byte[] completeEvents = splitter.add(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
        return new String(completeEvents, StandardCharsets.UTF_8);
    }
}
