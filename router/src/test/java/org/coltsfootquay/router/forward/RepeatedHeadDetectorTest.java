package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against bodies that a second response to the same request completes. */
final class RepeatedHeadDetectorTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Id: 4f2a\r\n\r\n";

    @Test
    void headWithTheIdIsFoundInAnyTwoParts() {
        String body = "beginning" + HEAD + "rest";
        for (int split = 0; split <= body.length(); split++) {
            assertTrue(scan("4f2a", body.substring(0, split), body.substring(split)), "split at " + split);
        }
    }

    @Test
    void headIsFoundByteByByte() {
        assertTrue(scan("4f2a", ("beginning" + HEAD).split("")));
    }

    /** A body may quote a response, for example in the answer of a model. */
    @Test
    void quotedResponseWithoutTheIdIsNotFound() {
        assertFalse(scan("4f2a", HEAD.replace("4f2a", "other"), "the id of this request is 4f2a"));
        assertFalse(scan("4f2a", "HTTP/1.1 200 OK is the status, and 4f2a\r\nis quoted"));
    }

    @Test
    void idBeforeTheStatusLineIsNotFound() {
        assertFalse(scan("4f2a", "X-Id: 4f2a\r\nHTTP/1.1 200 OK\r\n\r\n"));
    }

    @Test
    void idThatOnlyBeginsWithTheRequestIdIsNotFound() {
        assertFalse(scan("4f2", HEAD.split("")));
    }

    @Test
    void headAfterAQuotedOneIsFound() {
        assertTrue(scan("4f2a", HEAD.replace("4f2a", "other") + HEAD));
    }

    @Test
    void headBehindManyLinesIsNotFoundButTheNextOneIs() {
        String endless = "HTTP/1.1 200 OK\r\n" + "X-More: more\r\n".repeat(1000);
        assertFalse(scan("4f2a", endless + "X-Id: 4f2a\r\n"));
        assertTrue(scan("4f2a", endless + HEAD));
    }

    @Test
    void headWithTheIdOfThePreviousRequestIsFound() {
        RepeatedHeadDetector detector = new RepeatedHeadDetector("5b3c", "4f2a");
        assertTrue(detector.scan(buffer("beginning" + HEAD)));
    }

    @Test
    void headWithoutAnyOfTheIdsIsAStatusLineOnly() {
        RepeatedHeadDetector detector = new RepeatedHeadDetector("5b3c", "6d4e");
        assertFalse(detector.containsStatusLine());
        assertFalse(detector.scan(buffer("beginning" + HEAD + "rest")));
        assertTrue(detector.containsStatusLine());
    }

    @Test
    void nothingIsFoundForARequestWithoutId() {
        assertFalse(scan("", HEAD.replace("4f2a", "")));
    }

    @Test
    void bodyThatEndsWithinAHeadIsRecognised() {
        RepeatedHeadDetector detector = new RepeatedHeadDetector("4f2a");
        detector.scan(buffer("body HTTP/1."));
        assertTrue(detector.withinHead());
        detector.scan(buffer("1 200 OK\r\nX-Other: 1"));
        assertTrue(detector.withinHead());
        detector.scan(buffer("\r\n\r\nbody"));
        assertFalse(detector.withinHead());
    }

    private static boolean scan(String requestId, String... parts) {
        RepeatedHeadDetector detector = new RepeatedHeadDetector(requestId);
        boolean found = false;
        for (String part : parts) {
            found = detector.scan(buffer(part));
        }
        return found;
    }

    private static ByteBuf buffer(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }
}
