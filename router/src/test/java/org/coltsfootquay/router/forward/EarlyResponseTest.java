package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against wrong conclusions from a response that comes while the request is still being sent. */
final class EarlyResponseTest {

    /** More than the socket buffers hold, so that a part of the request waits in the router. */
    private static final int REQUEST_BYTES = 8 << 20;

    /** Time in which the router reads what was sent before. */
    private static final long READ_MILLIS = 100;

    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String STREAM = "Content-Type: text/event-stream\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private ForwardingFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardingFixture().withConfiguration(REQUEST_BYTES);
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** The pending write found the reset first, and the end of the connection was taken for the end of the body. */
    @Test
    void bodyWithoutLengthThatIsResetDuringTheRequestIsNotComplete() throws Exception {
        fixture.serveEarly((head, output, socket) -> {
            write(output, head(head, "") + "who");
            reset(socket);
        });
        String response = fixture.callWithBody("/once/a", "id-1", REQUEST_BYTES);
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
    }

    @Test
    void streamWithoutLengthThatIsResetDuringTheRequestIsNotComplete() throws Exception {
        fixture.serveEarly((head, output, socket) -> {
            write(output, head(head, STREAM) + EVENTS);
            reset(socket);
        });
        String response = fixture.callWithBody("/stream/a", "id-1", REQUEST_BYTES);
        assertFalse(response.endsWith(LAST_CHUNK), response);
    }

    @Test
    void bodyWithLengthThatIsResetDuringTheRequestIsNotComplete() throws Exception {
        fixture.serveEarly((head, output, socket) -> {
            write(output, head(head, "Content-Length: 5\r\n") + "who");
            reset(socket);
        });
        String response = fixture.callWithBody("/once/a", "id-1", REQUEST_BYTES);
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
    }

    @Test
    void bodyInChunksThatIsResetDuringTheRequestIsNotComplete() throws Exception {
        fixture.serveEarly((head, output, socket) -> {
            write(output, head(head, "Transfer-Encoding: chunked\r\n") + "3\r\nwho\r\n");
            reset(socket);
        });
        String response = fixture.callWithBody("/once/a", "id-1", REQUEST_BYTES);
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
    }

    @Test
    void bodyWithoutLengthThatEndsInOrderDuringTheRequestIsPassedOnWhole() throws Exception {
        fixture.serveEarly((head, output, socket) -> {
            write(output, head(head, "") + "whole");
            socket.shutdownOutput();
            Thread.sleep(READ_MILLIS);
        });
        String response = fixture.callWithBody("/once/a", "id-1", REQUEST_BYTES);
        assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("whole"), response);
    }

    private static void write(OutputStream output, String text) throws Exception {
        output.write(ScriptedServer.ascii(text));
        output.flush();
        Thread.sleep(READ_MILLIS);
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static String head(String request, String headers) {
        Matcher matcher = ID.matcher(request);
        return "HTTP/1.1 200 X\r\nX-Id: " + (matcher.find() ? matcher.group(1) : "none") + "\r\nX-Seal: seal\r\n"
                + headers + "\r\n";
    }
}
