package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against responses that end early and look complete, and complete ones that are lost, without a length. */
final class ResponseEndTest {

    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");
    private static final String TWO_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String THIRD_EVENT = "id: 3\ndata: c\n\n";
    private static final String STREAM = "Content-Type: text/event-stream\r\n";
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

    @Test
    void bodyWithoutLengthIsPassedOnWhole() throws Exception {
        fixture.serve((head, output, socket) -> {
            output.write(ScriptedServer.ascii(head(head, "HTTP/1.1 200 X", "") + "whole"));
            socket.close();
        });
        for (String path : List.of("/once/a", "/safe/a")) {
            String response = fixture.call("POST", path, "id-1");
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("whole"), response);
            assertTrue(response.toLowerCase(java.util.Locale.ROOT).contains("content-length: 5"), response);
        }
    }

    @Test
    void bodyOfAnOlderProtocolVersionIsPassedOnWhole() throws Exception {
        fixture.serve((head, output, socket) -> {
            output.write(ScriptedServer.ascii(head(head, "HTTP/1.0 200 X", "Connection: close\r\n") + "whole"));
            socket.close();
        });
        String response = fixture.call("POST", "/once/a", "id-1");
        assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("whole"), response);
    }

    @Test
    void emptyBodyWithoutLengthIsPassedOn() throws Exception {
        fixture.serve((head, output, socket) -> {
            output.write(ScriptedServer.ascii(head(head, "HTTP/1.1 200 X", "")));
            socket.close();
        });
        String response = fixture.call("POST", "/once/a", "id-1");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }

    @Test
    void responseWithoutBodyDoesNotWaitForTheEndOfTheConnection() throws Exception {
        fixture.serve((head, output, socket) -> output.write(ScriptedServer.ascii(head(head, "HTTP/1.1 204 X", ""))));
        String response = fixture.call("POST", "/once/a", "id-1");
        assertTrue(response.startsWith("HTTP/1.1 204"), response);
    }

    @Test
    void bodyThatIsResetIsNotComplete() throws Exception {
        fixture.serve((head, output, socket) -> {
            output.write(ScriptedServer.ascii(head(head, "HTTP/1.1 200 X", "") + "who"));
            output.flush();
            reset(socket);
        });
        String response = fixture.call("POST", "/once/a", "id-1");
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
    }

    /** The system closes the connections of a process that crashes like those of one that has finished. */
    @Test
    void bodyThatEndsWithACrashIsNotComplete() throws Exception {
        serveThenCrash("", "who");
        String response = fixture.call("POST", "/once/a", "id-1");
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
    }

    @Test
    void streamWithoutLengthIsPassedOnWhole() throws Exception {
        fixture.serve((head, output, socket) -> {
            output.write(ScriptedServer.ascii(head(head, "HTTP/1.1 200 X", STREAM) + TWO_EVENTS));
            socket.close();
        });
        assertStream(TWO_EVENTS, fixture.call("POST", "/stream/a", "id-1"));
    }

    @Test
    void streamThatEndsWithACrashIsNotComplete() throws Exception {
        serveThenCrash(STREAM, TWO_EVENTS);
        String response = fixture.call("POST", "/stream/a", "id-1");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertFalse(response.endsWith(LAST_CHUNK), response);
    }

    @Test
    void streamThatEndsWithACrashIsResumed() throws Exception {
        serveThenCrash(STREAM, TWO_EVENTS);
        serveThenCrash(STREAM, TWO_EVENTS);
        assertStream(TWO_EVENTS + THIRD_EVENT, fixture.call("POST", "/resume/a", "id-1"));
    }

    @Test
    void resumedStreamThatEndsWithinAnEventIsNotComplete() throws Exception {
        ScriptedServer.Script script = (head, output, socket) -> {
            String events = head.contains("X-Resume: 2") ? "id: 3\nda" : TWO_EVENTS + "id: 3";
            output.write(ScriptedServer.ascii(head(head, "HTTP/1.1 200 X", STREAM) + events));
            socket.close();
        };
        fixture.serve(script);
        fixture.serve(script);
        String response = fixture.call("POST", "/resume/a", "id-1");
        assertFalse(response.endsWith(LAST_CHUNK), response);
    }

    /** A server that stops within an event may end the body in order; such a stream looked complete. */
    @Test
    void streamThatEndsWithinAnEventIsResumed() throws Exception {
        for (Framing framing : Framing.values()) {
            ScriptedServer.Script script = (head, output, socket) ->
                    framing.write(head, head.contains("X-Resume: 2") ? THIRD_EVENT : TWO_EVENTS + "id: 3\nda", output);
            fixture.serve(script);
            fixture.serve(script);
            assertStream(TWO_EVENTS + THIRD_EVENT, fixture.call("POST", "/resume/" + framing, "id-" + framing));
            restart();
        }
    }

    @Test
    void streamThatEndsBeforeTheEmptyLineOfAnEventIsNotComplete() throws Exception {
        for (Framing framing : Framing.values()) {
            fixture.serve((head, output, socket) -> framing.write(head, TWO_EVENTS + "id: 3\ndata: c\n", output));
            String response = fixture.call("POST", "/stream/" + framing, "id-" + framing);
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertFalse(response.endsWith(LAST_CHUNK), framing + ": " + response);
            restart();
        }
    }

    @Test
    void resumptionThatEndsWithinAnEventIsNotComplete() throws Exception {
        for (Framing framing : Framing.values()) {
            ScriptedServer.Script script = (head, output, socket) ->
                    framing.write(head, head.contains("X-Resume: 2") ? "id: 3\nda" : TWO_EVENTS + "id: 3", output);
            fixture.serve(script);
            fixture.serve(script);
            String response = fixture.call("POST", "/resume/" + framing, "id-" + framing);
            assertFalse(response.endsWith(LAST_CHUNK), framing + ": " + response);
            restart();
        }
    }

    @Test
    void streamThatEndsWithEmptyLinesIsComplete() throws Exception {
        for (Framing framing : Framing.values()) {
            fixture.serve((head, output, socket) -> framing.write(head, TWO_EVENTS + "\n", output));
            String response = fixture.call("POST", "/stream/" + framing, "id-" + framing);
            assertTrue(response.endsWith(LAST_CHUNK), framing + ": " + response);
            restart();
        }
    }

    /** Only an event stream has events that may be incomplete. */
    @Test
    void plainTextOnARouteOfStreamsIsPassedOnWhole() throws Exception {
        fixture.serve((head, output, socket) -> output.write(ScriptedServer.ascii(
                head(head, "HTTP/1.1 200 X", "Content-Type: text/plain\r\nContent-Length: 5\r\n") + "whole")));
        String response = fixture.call("POST", "/stream/a", "id-1");
        assertTrue(response.contains("whole") && response.endsWith(LAST_CHUNK), response);
    }

    /** Ways in which a server marks the end of a body. */
    private enum Framing {
        CHUNKED,
        LENGTH,
        CONNECTION;

        private void write(String request, String events, OutputStream output) throws IOException {
            String headers = switch (this) {
                case CHUNKED -> "Transfer-Encoding: chunked\r\n";
                case LENGTH -> "Content-Length: " + events.length() + "\r\n";
                case CONNECTION -> "";
            };
            String body = this == CHUNKED
                    ? Integer.toHexString(events.length()) + "\r\n" + events + "\r\n" + LAST_CHUNK
                    : events;
            output.write(ScriptedServer.ascii(head(request, "HTTP/1.1 200 X", STREAM + headers) + body));
            if (this == CONNECTION) {
                output.close();
            }
        }
    }

    private void restart() throws Exception {
        stop();
        start();
    }

    /** Starts a server that sends a body and crashes, unless it gets a resumption, which it completes. */
    private void serveThenCrash(String headers, String body) throws Exception {
        List<ScriptedServer> self = new ArrayList<>();
        self.add(fixture.serve((head, output, socket) -> {
            boolean resumed = head.contains("X-Resume: 2");
            output.write(ScriptedServer.ascii(head(head, "HTTP/1.1 200 X", headers) + (resumed ? THIRD_EVENT : body)));
            output.flush();
            if (resumed) {
                socket.close();
            } else {
                self.get(0).crash();
            }
        }));
    }

    private static void assertStream(String events, String response) {
        assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith(LAST_CHUNK), response);
        String body = response.substring(response.indexOf("\r\n\r\n") + 4)
                .replaceAll("(?m)^[0-9a-f]+\r\n", "")
                .replace("\r\n", "");
        assertEquals(events, body, response);
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static String head(String request, String statusLine, String headers) {
        Matcher matcher = ID.matcher(request);
        return statusLine + "\r\nX-Id: " + (matcher.find() ? matcher.group(1) : "none") + "\r\nX-Seal: seal\r\n"
                + headers + "\r\n";
    }
}
