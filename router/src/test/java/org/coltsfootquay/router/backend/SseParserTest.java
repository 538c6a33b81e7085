package org.coltsfootquay.router.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SseParserTest {

    private static final String STREAM = "data: {\"a\":\"ö\"}\n\n: comment\r\ndata: one\r\ndata:two\r\n\r\n"
            + "event: x\n\ndata: [DONE]\n\ndata: cut off";

    /** Failure guarded against: events are lost or torn when packets split them anywhere. */
    @Property(tries = 200, seed = "20261204")
    void splitsTheSameAtAnyPacketBoundary(@ForAll @IntRange(min = 1, max = 30) int step) {
        List<String> events = new ArrayList<>();
        SseParser splitter = new SseParser(events::add);
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < bytes.length; i += step) {
            splitter.feed(Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + step)));
        }
        assertEquals(List.of("{\"a\":\"ö\"}", "one\ntwo", "[DONE]"), events);
    }

    /** Failure guarded against: a server that never ends an event exhausts the memory of the router. */
    @Test
    void oversizedEventIsRefused() {
        SseParser splitter = new SseParser(event -> {});
        assertThrows(IllegalStateException.class, () -> splitter.feed(new byte[SseParser.MAX_EVENT_BYTES + 1]));
    }

    /** Failure guarded against: text of a token that looks like a field is taken for the field. */
    @Test
    void scannerReadsFieldsAndIgnoresQuotedOnes() {
        StreamEvent token = StreamEventParser.parse("{\"choices\":[{\"delta\":{\"content\":\"\\\"position\\\": 9\"},"
                        + "\"index\":0,\"finish_reason\":null}],\"position\":4}")
                .orElseThrow();
        assertEquals("\"position\": 9", token.content());
        assertEquals(OptionalLong.of(4), token.position());
        assertEquals(Optional.empty(), token.finishReason());
        StreamEvent last = StreamEventParser.parse("{\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
                        + "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":8}}")
                .orElseThrow();
        assertEquals(Optional.of("stop"), last.finishReason());
        assertEquals(OptionalLong.of(7), last.promptTokens());
        assertEquals(OptionalLong.of(8), last.completionTokens());
        assertEquals(Optional.empty(), StreamEventParser.parse("{\"choices\":"));
        assertEquals(
                Optional.of("cold"),
                StreamEventParser.parse("{\"error\":{\"code\":\"cold\"}}")
                        .orElseThrow()
                        .errorCode());
    }
}
