package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against events that are cut in two where a stream breaks. */
final class EventSplitterTest {

    private final EventSplitter splitter = new EventSplitter();

    @Test
    void eventIsHeldUntilItIsWhole() {
        assertEquals("", add("id: 1\nda"));
        assertEquals("id: 1\ndata: a\n\n", add("ta: a\n\nid: 2"));
    }

    @Test
    void severalEventsComeTogether() {
        assertEquals("id: 1\n\nid: 2\n\n", add("id: 1\n\nid: 2\n\nid"));
        assertEquals(Optional.of("2"), splitter.lastId());
    }

    @Test
    void linesMayEndWithCarriageReturns() {
        assertEquals("id: 7\r\ndata: a\r\n\r\n", add("id: 7\r\ndata: a\r\n\r\n"));
        assertEquals(Optional.of("7"), splitter.lastId());
    }

    @Test
    void idOfACutEventDoesNotCount() {
        add("id: 1\n\nid: 2\nda");
        assertEquals(Optional.of("1"), splitter.lastId());
    }

    @Test
    void restIsForgotten() {
        add("id: 1\n\nid: 2\nda");
        assertEquals("id: 2\nda", new String(splitter.takeIncomplete(), StandardCharsets.UTF_8));
        assertEquals("id: 2\n\n", add("id: 2\n\n"));
    }

    @Test
    void byteByByteGivesTheSameEvents() {
        StringBuilder events = new StringBuilder();
        for (char c : "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".toCharArray()) {
            events.append(add(String.valueOf(c)));
        }
        assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", events.toString());
    }

    private String add(String text) {
        byte[] whole = splitter.add(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
        return new String(whole, StandardCharsets.UTF_8);
    }
}
