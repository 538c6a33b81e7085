package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

/** Guards against servers that repeat refusals or stop within a response head. */
final class FaultyServerTest {

    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");
    private static final String NOT_RUN = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n";

    private final List<ScriptedServer> servers = new ArrayList<>();
    private ForwardingFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardingFixture().withConfiguration();
    }

    @AfterEach
    void stop() throws IOException {
        for (ScriptedServer server : servers) {
            server.close();
        }
        fixture.close();
    }

    /** A refusal that names no request may be an earlier one, and the server may execute the request nevertheless. */
    @Test
    void refusalWithoutARequestIdIsNoPromise() throws Exception {
        AtomicInteger executed = new AtomicInteger();
        ScriptedServer.Script script = (head, output, socket) -> {
            output.write(ScriptedServer.ascii(NOT_RUN + "\r\n"));
            executed.incrementAndGet();
            output.write(signed(head, "booked"));
        };
        serve(script);
        serve(script);
        String response = fixture.call("POST", "/once/a", "id-1");
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
        assertEquals(1, executed.get());
    }

    @Test
    void earlierRefusalOnAKeptConnectionIsDiscarded() throws Exception {
        List<String> heads = new ArrayList<>();
        serve((head, output, socket) -> {
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
        serve((head, output, socket) -> {
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

    /** A head that ends early became a success with an empty body. */
    @Test
    void headThatEndsAnywhereIsNoResponse() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n";
        AtomicInteger length = new AtomicInteger();
        serve((request, output, socket) -> {
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

    private void serve(ScriptedServer.Script script) throws Exception {
        ScriptedServer server = new ScriptedServer(script);
        servers.add(server);
        fixture.registerServer(server.address());
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
