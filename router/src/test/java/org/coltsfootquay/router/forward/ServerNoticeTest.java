package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests to servers that have said in a response that they leave or want no requests for a time. */
final class ServerNoticeTest {

    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");
    private static final Pattern RETRY_AFTER = Pattern.compile("(?im)^retry-after: (\\S+)");
    private static final String LEAVING = "X-Leaving: 1\r\n";
    private static final String NOT_RUN = "X-Not-Run: 1\r\n";

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
    void serverThatLeavesGetsNoRequestOnAKeptConnection() throws Exception {
        ScriptedServer server =
                fixture.serve((head, output, socket) -> output.write(response(head, 200, LEAVING, "last")));
        assertTrue(fixture.call("POST", "/once/a", "id-1").endsWith("last"));
        String response = fixture.call("POST", "/once/a", "id-2");
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertEquals(1, server.requestHeads.size());
    }

    @Test
    void errorOrRefusalSaysThatAServerLeavesToo() throws Exception {
        for (String status : List.of("500", "503", "421")) {
            ScriptedServer server = fixture.serve((head, output, socket) ->
                    output.write(response(head, Integer.parseInt(status), LEAVING + NOT_RUN, "")));
            fixture.call("POST", "/once/a", "id-1");
            fixture.call("POST", "/once/a", "id-2");
            assertEquals(1, server.requestHeads.size(), status);
            stop();
            start();
        }
    }

    @Test
    void streamWhoseServerLeavesContinuesToItsEnd() throws Exception {
        ScriptedServer server = fixture.serve((head, output, socket) -> {
            output.write(ScriptedServer.ascii("HTTP/1.1 200 X\r\nX-Id: " + id(head) + "\r\nX-Seal: seal\r\n" + LEAVING
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int i = 1; i <= 3; i++) {
                output.write(ScriptedServer.ascii("f\r\nid: " + i + "\ndata: a\n\n\r\n"));
                output.flush();
                Thread.sleep(50);
            }
            output.write(ScriptedServer.ascii("0\r\n\r\n"));
        });
        String response = fixture.call("POST", "/stream/a", "id-1");
        assertTrue(response.contains("id: 3"), response);
        assertTrue(response.endsWith("0\r\n\r\n"), response);
        assertTrue(fixture.call("POST", "/once/a", "id-2").startsWith("HTTP/1.1 503"));
        assertEquals(1, server.requestHeads.size());
    }

    /** A faulty server could take itself or another one out of service with the response to another request. */
    @Test
    void responseToAnotherRequestIsNoNotice() throws Exception {
        ScriptedServer server = fixture.serve((head, output, socket) -> {
            output.write(response("X-Id: other\r\n", 200, LEAVING, "stray"));
            output.write(response("X-Id: other\r\n", 503, NOT_RUN + "Retry-After: 9\r\n", ""));
            output.write(response(head, 200, "", "mine"));
        });
        assertTrue(fixture.call("POST", "/once/a", "id-1").endsWith("mine"));
        assertTrue(fixture.call("POST", "/once/a", "id-2").endsWith("mine"));
        assertEquals(2, server.requestHeads.size());
    }

    @Test
    void resumptionAvoidsAServerThatLeaves() throws Exception {
        AtomicInteger resumed = new AtomicInteger();
        ScriptedServer leaving = fixture.serve((head, output, socket) -> {
            resumed.addAndGet(head.contains("X-Resume") ? 1 : 0);
            output.write(response(head, 200, LEAVING, "last"));
        });
        while (leaving.requestHeads.isEmpty()) {
            fixture.call("POST", "/once/a", "id-1");
        }
        fixture.serve((head, output, socket) -> {
            output.write(ScriptedServer.ascii("HTTP/1.1 200 X\r\nX-Id: " + id(head) + "\r\nX-Seal: seal\r\n"
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "f\r\nid: 1\ndata: a\n\n\r\n"));
            output.flush();
            socket.close();
        });
        String response = fixture.call("POST", "/resume/a", "id-2");
        assertFalse(response.endsWith("0\r\n\r\n"), response);
        assertEquals(0, resumed.get());
    }

    @Test
    void restartedServerGetsRequestsAgain() throws Exception {
        ScriptedServer server =
                fixture.serve((head, output, socket) -> output.write(response(head, 200, LEAVING, "last")));
        fixture.call("POST", "/once/a", "id-1");
        fixture.restartServer("s0", server.address());
        assertTrue(fixture.call("POST", "/once/a", "id-2").endsWith("last"));
    }

    @Test
    void pausedServerGetsNoRequestUntilThePauseEnds() throws Exception {
        ScriptedServer server = fixture.serve(
                (head, output, socket) -> output.write(response(head, 503, NOT_RUN + "Retry-After: 0.6\r\n", "")));
        fixture.call("POST", "/once/a", "id-1");
        for (int i = 0; i < 5; i++) {
            fixture.call("POST", "/once/a", "id-2");
        }
        assertEquals(1, server.requestHeads.size());
        Thread.sleep(700);
        fixture.call("POST", "/once/a", "id-3");
        assertEquals(2, server.requestHeads.size());
    }

    /** Two hundred requests were on their way when the server asked for a pause; the rest must not follow. */
    @Test
    void requestsInFlightDoNotReachAPausedServer() throws Exception {
        ScriptedServer server = fixture.serve(
                (head, output, socket) -> output.write(response(head, 503, NOT_RUN + "Retry-After: 30\r\n", "")));
        ExecutorService callers = Executors.newFixedThreadPool(20);
        try {
            List<Future<String>> responses = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                String id = "id-" + i;
                responses.add(callers.submit(() -> fixture.call("POST", "/once/a", id)));
            }
            for (Future<String> response : responses) {
                assertTrue(response.get().startsWith("HTTP/1.1 503"), response.get());
            }
        } finally {
            callers.shutdownNow();
        }
        int reached = server.requestHeads.size();
        assertTrue(reached <= 20, reached + " requests reached the server");
        fixture.call("POST", "/once/a", "late");
        assertEquals(reached, server.requestHeads.size());
    }

    @Test
    void requestGoesToTheServerThatDoesNotPause() throws Exception {
        ScriptedServer paused = fixture.serve(
                (head, output, socket) -> output.write(response(head, 503, NOT_RUN + "Retry-After: 30\r\n", "")));
        fixture.serve((head, output, socket) -> output.write(response(head, 200, "", "served")));
        for (int i = 0; i < 20; i++) {
            assertTrue(fixture.call("POST", "/once/a", "id-" + i).endsWith("served"));
        }
        assertTrue(paused.requestHeads.size() <= 1);
    }

    @Test
    void pauseOfAllServersIsPassedOnToCallers() throws Exception {
        fixture.serve((head, output, socket) -> output.write(response(head, 503, NOT_RUN + "Retry-After: 8\r\n", "")));
        fixture.serve((head, output, socket) -> output.write(response(head, 503, NOT_RUN + "Retry-After: 30\r\n", "")));
        fixture.call("POST", "/once/a", "id-1");
        fixture.call("POST", "/once/a", "id-2");
        String response = fixture.call("POST", "/once/a", "id-3");
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        Matcher matcher = RETRY_AFTER.matcher(response);
        assertTrue(matcher.find(), response);
        double seconds = Double.parseDouble(matcher.group(1));
        assertTrue(seconds > 5 && seconds <= 9, response);
    }

    @Test
    void pauseIsNoFailureOfTheServer() throws Exception {
        fixture.serve((head, output, socket) -> output.write(response(head, 503, "Retry-After: 9\r\n", "")));
        fixture.call("POST", "/once/a", "id-1");
        assertEquals(0, fixture.context.health().failureRate(new ServerName("s0")));
    }

    @Test
    void malformedPauseIsIgnored() throws Exception {
        for (String value : List.of("-1", "soon", "0", "Sat, 05 Dec 2026 09:00:00 GMT")) {
            ScriptedServer server = fixture.serve((head, output, socket) ->
                    output.write(response(head, 503, NOT_RUN + "Retry-After: " + value + "\r\n", "")));
            fixture.call("POST", "/once/a", "id-1");
            fixture.call("POST", "/once/a", "id-2");
            assertEquals(2, server.requestHeads.size(), value);
            stop();
            start();
        }
    }

    @Test
    void retryAfterOfAnotherStatusIsNoPause() throws Exception {
        ScriptedServer server = fixture.serve(
                (head, output, socket) -> output.write(response(head, 200, "Retry-After: 30\r\n", "served")));
        fixture.call("POST", "/once/a", "id-1");
        fixture.call("POST", "/once/a", "id-2");
        assertEquals(2, server.requestHeads.size());
    }

    private static byte[] response(String head, int status, String headers, String body) {
        return ScriptedServer.ascii("HTTP/1.1 " + status + " X\r\nX-Id: " + id(head) + "\r\nX-Seal: seal\r\n" + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static String id(String head) {
        Matcher matcher = ID.matcher(head);
        return matcher.find() ? matcher.group(1) : "none";
    }
}
