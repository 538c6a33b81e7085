package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against late responses that stop anywhere and are read as one with the next response of the connection. */
final class JoinedResponseTest {

    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");

    private ForwardingFixture fixture;

    /** Bytes that precede the response to each request but the first of a connection. */
    private final AtomicReference<String> stale = new AtomicReference<>("");

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardingFixture().withConfiguration();
        fixture.serve((head, output, socket) -> {
            String id = id(head);
            String response = id.startsWith("first")
                    ? success(id)
                    : stale.get() + "HTTP/1.1 500 Internal Server Error\r\nX-Id: " + id
                            + "\r\nX-Seal: seal-of-error\r\nContent-Length: 4\r\n\r\nfail";
            output.write(ScriptedServer.ascii(response));
        });
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Callers got a success with the body and the seal of an error. */
    @Test
    void errorAfterACutResponseIsNoSuccess() throws Exception {
        for (String path : List.of("/once/a", "/stream/a", "/resume/a")) {
            int length = success("first-0").length();
            for (int cut = 0; cut <= length; cut++) {
                String response =
                        callAfterStaleBytes(path, success("first-" + cut).substring(0, cut), cut);
                assertTrue(
                        response.startsWith("HTTP/1.1 500") || response.startsWith("HTTP/1.1 502"),
                        path + " after " + cut + " bytes: " + response);
            }
        }
    }

    /** A first response that stops, followed by the second one to the same request, became one response. */
    @Test
    void secondResponseToTheSameRequestDoesNotCompleteTheFirst() throws Exception {
        for (String path : List.of("/once/a", "/stream/a")) {
            int length = success("other-0").length();
            for (int cut = 1; cut < length; cut++) {
                String response =
                        callAfterStaleBytes(path, success("other-" + cut).substring(0, cut), cut);
                assertTrue(
                        !response.startsWith("HTTP/1.1 200") || isBrokenStream(response),
                        path + " after " + cut + " bytes: " + response);
            }
        }
    }

    /** A response to another request that is received whole is discarded, and the caller gets its own. */
    @Test
    void wholeResponseToAnotherRequestIsDiscarded() throws Exception {
        String response = callAfterStaleBytes("/once/a", success("first-1"), 1);
        assertTrue(response.startsWith("HTTP/1.1 500") && response.endsWith("fail"), response);
        assertTrue(response.contains("seal-of-error"), response);
    }

    /** The caller waited until its deadline for a response that had become a part of the body of another one. */
    @Test
    void responseWithinTheBodyOfAnotherIsGivenUpAtOnce() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nX-Id: first-0\r\nX-Seal: seal-of-success\r\n";
        List<String> bodies = List.of(
                "Content-Length: 5000\r\n\r\nbody",
                "Transfer-Encoding: chunked\r\n\r\n1000\r\nbody",
                "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
                "\r\nbody");
        for (String path : List.of("/once/a", "/stream/a")) {
            for (String body : bodies) {
                String response = callAfterStaleBytes(path, head + body, 0);
                assertTrue(response.startsWith("HTTP/1.1 502"), path + " after " + body + ": " + response);
            }
        }
    }

    /** The caller got a success whose body contained the late response in place of its end. */
    @Test
    void lateResponseWithinABodyIsNotServedAsThatBody() throws Exception {
        String body = "0123456789".repeat(100);
        for (String lateId : List.of("first-1", "earlier")) {
            start((head, output, socket) -> {
                String id = id(head);
                String own = "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: seal\r\nContent-Length: " + body.length()
                        + "\r\n\r\n";
                String late = id.startsWith("first") ? "" : success(lateId);
                output.write(ScriptedServer.ascii(own + body.substring(0, 500) + late + body.substring(500)));
            });
            assertTrue(callUntilRun("/once/a", "first-1").startsWith("HTTP/1.1 200"));
            String response = callUntilRun("/once/a", "other-1");
            assertTrue(response.startsWith("HTTP/1.1 502"), lateId + ": " + response);
        }
    }

    /** The caller got a success whose body ended with the status line of an error. */
    @Test
    void bodyThatEndsBeforeAHeaderOfASecondResponseIsNotServed() throws Exception {
        String statusLine = "HTTP/1.1 500 Internal Server Error\r\n";
        start((head, output, socket) -> {
            String id = id(head);
            output.write(ScriptedServer.ascii("HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: seal\r\nContent-Length: "
                    + (4 + statusLine.length()) + "\r\n\r\nbody" + statusLine + "Host-Name: a\r\nX-Id: " + id
                    + "\r\nContent-Length: 0\r\n\r\n"));
        });
        String response = callUntilRun("/once/a", "other-1");
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
    }

    /** The part waited in the decoder of the idle connection until the next response completed it. */
    @Test
    void partOfAResponseOnAnIdleConnectionEndsTheConnection() throws Exception {
        ScriptedServer server = start((head, output, socket) -> {
            output.write(ScriptedServer.ascii(success(id(head))));
            output.flush();
            Thread.sleep(20);
            output.write(ScriptedServer.ascii("HTTP/1.1 500 Int"));
        });
        assertTrue(callUntilRun("/once/a", "first-1").startsWith("HTTP/1.1 200"));
        Thread.sleep(200);
        assertEquals(0, fixture.openConnections(), "connections to the server");
        assertTrue(callUntilRun("/once/a", "first-2").startsWith("HTTP/1.1 200"));
        assertEquals(2, server.connections.get());
    }

    @Test
    void partOfAResponseBehindAResponseEndsTheConnection() throws Exception {
        ScriptedServer server = start((head, output, socket) ->
                output.write(ScriptedServer.ascii(success(id(head)) + "HTTP/1.1 500 Internal Server Error\r\nX-Id: ")));
        for (int i = 1; i <= 3; i++) {
            assertTrue(callUntilRun("/once/a", "first-" + i).startsWith("HTTP/1.1 200"));
        }
        assertEquals(3, server.connections.get());
    }

    /** A server that sends a second response does it again, so that requests on kept connections are lost. */
    @Test
    void connectionsOfAServerThatAnsweredTwiceCarryOneRequest() throws Exception {
        ScriptedServer server = start((head, output, socket) -> {
            String response = success(id(head));
            output.write(ScriptedServer.ascii(id(head).equals("first-2") ? response.repeat(2) : response));
        });
        for (int i = 1; i <= 5; i++) {
            assertTrue(callUntilRun("/once/a", "first-" + i).startsWith("HTTP/1.1 200"));
        }
        assertEquals(4, server.connections.get());
    }

    /** Without a kept connection, each broken one looked like the crash of its server. */
    @Test
    void brokenConnectionOfAServerWithoutKeptConnectionsIsNoCrash() throws Exception {
        start((head, output, socket) -> {
            if (id(head).equals("first-2")) {
                socket.close();
            } else {
                output.write(ScriptedServer.ascii(success(id(head)).repeat(2)));
            }
        });
        assertTrue(callUntilRun("/once/a", "first-1").startsWith("HTTP/1.1 200"));
        assertTrue(callUntilRun("/once/a", "first-2").startsWith("HTTP/1.1 502"));
        Thread.sleep(100);
        assertTrue(callUntilRun("/once/a", "first-3").startsWith("HTTP/1.1 200"));
        assertEquals(
                0,
                fixture.context
                        .metrics()
                        .counter("coltsfootquay_server_crashes_total")
                        .getCount());
    }

    /** Connections were not reused for a time because a server had closed one of them within a head. */
    @Test
    void endOfAConnectionWithinAHeadDoesNotPreventReuse() throws Exception {
        ScriptedServer server = start((head, output, socket) -> {
            boolean ends = id(head).equals("ends");
            output.write(ScriptedServer.ascii(ends ? "HTTP/1.1 200 OK\r\nX-Id: ends\r\n" : success(id(head))));
            if (ends) {
                socket.close();
            }
        });
        String response = callUntilRun("/once/a", "ends");
        assertTrue(response.startsWith("HTTP/1.1 502") && response.contains("closed"), response);
        for (int i = 1; i <= 3; i++) {
            assertTrue(callUntilRun("/once/a", "first-" + i).startsWith("HTTP/1.1 200"));
        }
        assertEquals(2, server.connections.get());
    }

    /** Replaces the server. */
    private ScriptedServer start(ScriptedServer.Script script) throws Exception {
        stop();
        fixture = new ForwardingFixture().withConfiguration();
        return fixture.serve(script);
    }

    private String callAfterStaleBytes(String path, String bytes, int number) throws Exception {
        stale.set("");
        String first = callUntilRun(path, "first-" + number);
        assertTrue(first.startsWith("HTTP/1.1 200"), first);
        stale.set(bytes);
        long startNanos = System.nanoTime();
        String response = callUntilRun(path, "other-" + number);
        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        assertEquals("", millis < 2000 ? "" : path + " took " + millis + " ms: " + response);
        return response;
    }

    private static boolean isBrokenStream(String response) {
        return response.contains("transfer-encoding: chunked") && !response.endsWith("\r\n0\r\n\r\n");
    }

    /** Calls again if the router is overloaded, as on a busy machine, and has not run the request. */
    private String callUntilRun(String path, String id) throws IOException {
        String response = fixture.call("POST", path, id);
        while (response.startsWith("HTTP/1.1 503") && response.contains("router_overloaded")) {
            response = fixture.call("POST", path, id);
        }
        return response;
    }

    private static String success(String id) {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Id: " + id
                + "\r\nX-Seal: seal-of-success\r\nContent-Length: 24\r\n\r\nid: 1\ndata: a\n\ndata: b\n\n";
    }

    private static String id(String head) {
        Matcher matcher = ID.matcher(head);
        return matcher.find() ? matcher.group(1) : "none";
    }
}
