package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against servers that repeat refusals, answer a resumption with an error or stop within a response head. */
final class FaultyServerTest {

    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");
    private static final String NOT_RUN = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n";
    private static final String TWO_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private ForwardingFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardingFixture().withConfiguration();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** A refusal that names no request may be an earlier one, and the server may execute the request nevertheless. */
    @Test
    void refusalWithoutARequestIdIsNoPromise() throws Exception {
        AtomicInteger executed = new AtomicInteger();
        ScriptedServer.Script script = (head, output, socket) -> {
            executed.incrementAndGet();
            output.write(ScriptedServer.ascii(NOT_RUN + "\r\n"));
            output.write(signed(head, "booked"));
        };
        fixture.serve(script);
        fixture.serve(script);
        String response = fixture.call("POST", "/once/a", "id-1");
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
        assertEquals(1, executed.get());
    }

    /** Callers take these statuses as a promise, which the server has not given. */
    @Test
    void refusalThatDoesNotSayNotRunIsNoPromise() throws Exception {
        AtomicInteger status = new AtomicInteger();
        fixture.serve((head, output, socket) -> output.write(ScriptedServer.ascii(
                "HTTP/1.1 " + status + " X\r\nX-Id: " + id(head) + "\r\nX-Seal: seal\r\nContent-Length: 0\r\n\r\n")));
        for (int refusal : new int[] {408, 429, 503}) {
            status.set(refusal);
            String response = fixture.call("POST", "/once/a", "id-" + refusal);
            assertTrue(response.startsWith("HTTP/1.1 502"), refusal + ": " + response);
            assertFalse(response.contains("X-Seal"), response);
        }
    }

    @Test
    void earlierRefusalOnAKeptConnectionIsDiscarded() throws Exception {
        List<String> heads = new ArrayList<>();
        fixture.serve((head, output, socket) -> {
            heads.add(head);
            if (heads.size() == 1) {
                output.write(ScriptedServer.ascii(NOT_RUN + "X-Id: " + id(head) + "\r\n\r\n"));
            } else {
                output.write(ScriptedServer.ascii(NOT_RUN + "X-Id: " + id(heads.get(0)) + "\r\n\r\n"));
                output.write(signed(head, "booked"));
            }
        });
        assertTrue(fixture.call("POST", "/once/a", "id-1").startsWith("HTTP/1.1 503"));
        String response = fixture.call("POST", "/once/a", "id-2");
        assertTrue(response.endsWith("booked"), response);
    }

    @Test
    void earlierRefusalBesideAnIdleConnectionIsNotUsed() throws Exception {
        List<String> heads = new ArrayList<>();
        fixture.serve((head, output, socket) -> {
            heads.add(head);
            if (heads.size() == 1) {
                String refusal = NOT_RUN + "X-Id: " + id(head) + "\r\n\r\n";
                output.write(ScriptedServer.ascii(refusal + refusal));
            } else {
                output.write(signed(head, "booked"));
            }
        });
        assertTrue(fixture.call("POST", "/once/a", "id-1").startsWith("HTTP/1.1 503"));
        String response = fixture.call("POST", "/once/a", "id-2");
        assertTrue(response.endsWith("booked"), response);
    }

    /** A caller found the error of the second server within its stream, or a stream that seemed complete. */
    @Test
    void errorInsteadOfAResumptionBreaksTheStream() throws Exception {
        for (String status : List.of("500", "404", "503", "301")) {
            serveBrokenStreamThen(
                    "HTTP/1.1 " + status + " X\r\nX-Id: $id\r\nX-Seal: seal\r\nContent-Length: 5\r\n\r\noops!");
            assertBrokenAfterTwoEvents(fixture.call("POST", "/resume/" + status, "id-" + status));
            restart();
        }
    }

    @Test
    void refusedResumptionBreaksTheStream() throws Exception {
        serveBrokenStreamThen(NOT_RUN + "X-Id: $id\r\n\r\n");
        assertBrokenAfterTwoEvents(fixture.call("POST", "/resume/a", "id-1"));
    }

    @Test
    void unsignedResumptionBreaksTheStream() throws Exception {
        serveBrokenStreamThen("HTTP/1.1 200 X\r\nX-Id: $id\r\nContent-Length: 5\r\n\r\noops!");
        assertBrokenAfterTwoEvents(fixture.call("POST", "/resume/a", "id-1"));
    }

    /** A server that ignores the point of resumption sends events that the caller has already received. */
    @Test
    void resumptionThatStartsOverBreaksTheStream() throws Exception {
        serveBrokenStreamThen(streamHead() + chunk(TWO_EVENTS + "id: 3\ndata: c\n\n") + LAST_CHUNK);
        assertBrokenAfterTwoEvents(fixture.call("POST", "/resume/a", "id-1"));
    }

    @Test
    void resumptionWithAGapBreaksTheStream() throws Exception {
        serveBrokenStreamThen(streamHead() + chunk("id: 4\ndata: d\n\n") + LAST_CHUNK);
        assertBrokenAfterTwoEvents(fixture.call("POST", "/resume/a", "id-1"));
    }

    @Test
    void resumptionWithoutEventsOfItsOwnIsNoEvent() throws Exception {
        serveBrokenStreamThen("HTTP/1.1 200 X\r\nX-Id: $id\r\nX-Seal: seal\r\nContent-Length: 5\r\n\r\noops!");
        assertBrokenAfterTwoEvents(fixture.call("POST", "/resume/a", "id-1"));
    }

    /** A stream that ends with its connection within an event looked complete. */
    @Test
    void streamWithoutLengthThatEndsWithinAnEventIsBroken() throws Exception {
        fixture.serve((head, output, socket) -> {
            output.write(ScriptedServer.ascii("HTTP/1.1 200 X\r\nX-Id: " + id(head)
                    + "\r\nX-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n" + TWO_EVENTS + "id: 3\nda"));
            socket.close();
        });
        assertBrokenAfterTwoEvents(fixture.call("POST", "/stream/a", "id-1"));
    }

    /** A head that ends early became a success with an empty body. */
    @Test
    void headThatEndsAnywhereIsNoResponse() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n";
        AtomicInteger length = new AtomicInteger();
        fixture.serve((request, output, socket) -> {
            output.write(ScriptedServer.ascii(head.replace("$id", id(request)).substring(0, length.get())));
            socket.close();
        });
        int fullLength = head.replace("$id", "id-1").length();
        for (String path : List.of("/once/a", "/stream/a")) {
            for (length.set(0); length.get() < fullLength; length.incrementAndGet()) {
                String response = fixture.call("POST", path, "id-1");
                assertTrue(
                        response.startsWith("HTTP/1.1 502") || response.startsWith("HTTP/1.1 503"),
                        path + " after " + length.get() + " bytes: " + response);
            }
        }
    }

    @Test
    void resumptionWhoseHeadEndsEarlyBreaksTheStream() throws Exception {
        serveBrokenStreamThen("HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Seal: seal\r\nContent-Len");
        assertBrokenAfterTwoEvents(fixture.call("POST", "/resume/a", "id-1"));
    }

    /** Starts two servers that break their first stream after two events; the resumption gets the response. */
    private void serveBrokenStreamThen(String resumption) throws Exception {
        ScriptedServer.Script script = (head, output, socket) -> {
            if (head.contains("X-Resume: ")) {
                output.write(ScriptedServer.ascii(resumption.replace("$id", id(head))));
            } else {
                output.write(ScriptedServer.ascii(streamHead().replace("$id", id(head)) + chunk(TWO_EVENTS)));
            }
            output.flush();
            socket.close();
        };
        fixture.serve(script);
        fixture.serve(script);
    }

    private void restart() throws Exception {
        stop();
        start();
    }

    private static void assertBrokenAfterTwoEvents(String response) {
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertFalse(response.endsWith(LAST_CHUNK), response);
        String body = response.substring(response.indexOf("\r\n\r\n") + 4).replaceAll("(?m)^[0-9a-f]+\r\n", "");
        assertEquals(TWO_EVENTS, body.replace("\r\n", "").replace("[reset]", ""), response);
    }

    private static String streamHead() {
        return "HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Seal: seal\r\n" + EVENT_STREAM;
    }

    private static String chunk(String events) {
        return Integer.toHexString(events.length()) + "\r\n" + events + "\r\n";
    }

    private static byte[] signed(String head, String body) {
        return ScriptedServer.ascii("HTTP/1.1 200 X\r\nX-Id: " + id(head) + "\r\nX-Seal: seal\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    private static String id(String head) {
        Matcher matcher = ID.matcher(head);
        return matcher.find() ? matcher.group(1) : "none";
    }
}
