package org.coltsfootquay.router.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that status lines are found in bodies, however they are split. */
final class StatusLineScannerTest {

    private static final String BODY = "data: a HHTTP/1.HTTP/1.1 502 Bad Gateway\r\n";

    private final StatusLineScanner scanner = new StatusLineScanner();

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.0 500\r\n", "xHTTP/1.1 404 X", "HTTP/1.1 2HTTP/1.1 500 X"})
    void statusLineIsFound(String body) {
        assertTrue(scanner.scan(buffer(body)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200",
                "HTTP/1.1 2000 ",
                "HTTP/1.1 20 OK",
                "HTTP/1.1  200 OK",
                "http/1.1 200 OK",
                "HTTP/11 200 OK",
                "HTTP/1.1 200\n",
                "GET / HTTP/1.1\r\n"
            })
    void otherTextIsNoStatusLine(String body) {
        assertFalse(scanner.scan(buffer(body)));
    }

    @Test
    void endOfTheStatusLineIsAnIndexOfTheBufferThatCompletedIt() {
        assertEquals(-1, scanner.endIndex());
        scanner.scan(buffer("body HTTP/1.1 "));
        assertEquals(-1, scanner.endIndex());
        scanner.scan(buffer("500 Error"));
        assertEquals(4, scanner.endIndex());
    }

    @Test
    void beginningOfAStatusLineIsReportedUntilItIsComplete() {
        scanner.scan(buffer("body"));
        assertFalse(scanner.withinStatusLine());
        scanner.scan(buffer("HTTP/1.1"));
        assertTrue(scanner.withinStatusLine());
        scanner.scan(buffer(" 500 "));
        assertFalse(scanner.withinStatusLine());
    }

    @Test
    void statusLineIsFoundWhenSplitAtAnyByte() {
        for (int split = 0; split <= BODY.length(); split++) {
            StatusLineScanner splitScanner = new StatusLineScanner();
            splitScanner.scan(buffer(BODY.substring(0, split)));
            assertTrue(splitScanner.scan(buffer(BODY.substring(split))), "split at " + split);
        }
    }

    @Test
    void statusLineIsFoundInSingleBytes() {
        int found = 0;
        for (String piece : DecodedResponse.bytes(BODY)) {
            found += scanner.scan(buffer(piece)) ? 1 : 0;
        }
        assertEquals(" Bad Gateway\r\n".length(), found);
    }

    @Test
    void foundStatusLineIsRemembered() {
        scanner.scan(buffer("HTTP/1.1 200 OK"));
        scanner.scan(buffer("data: b"));
        assertTrue(scanner.found());
    }

    @Test
    void readerIndexIsNotMoved() {
        ByteBuf body = buffer("data: HTTP/1.1 200 OK").skipBytes(2);
        scanner.scan(body);
        assertEquals(2, body.readerIndex());
    }

    @Test
    void bytesBeforeTheReaderIndexAreIgnored() {
        assertFalse(scanner.scan(buffer("HTTP/1.1 200 OK").skipBytes(1)));
    }

    @Test
    void nullBufferIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> scanner.scan(null));
    }

    private static ByteBuf buffer(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }
}
