package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the promises to callers when servers lose, break, repeat or spoil answers. */
final class ForwardingTest {

    private static final String TWO_EVENTS_AND_A_PART = """
            id: 1
            data: a

            id: 2
            data: b

            id: 3
            da""";

    private static final String ONE_EVENT = event(1, "a");

    private static final String LAST_EVENT = event(3, "c");

    private static final String THREE_EVENTS = """
            id: 1
            data: a

            id: 2
            data: b

            id: 3
            data: c

            """;

    private static final ScriptedServer.Script CLOSES = (head, output, socket) -> socket.close();

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

    /**
     * Seen with ritarkiv-sv-grown trouble-1: routers that had just started read requests seconds late and sent them on
     * before they read that the callers had left.
     */
    @Test
    void requestWhoseCallerLeftWhileTheRouterWasBusyIsNotSentOn() throws Exception {
        ScriptedServer server = serve((head, output, socket) -> output.write(signed(head, "hello")));
        fixture.call("POST", "/once/first", "first");
        try (Socket caller = fixture.connect()) {
            fixture.blockEventLoop(Duration.ofMillis(400));
            String request = String.join(
                    "\r\n",
                    "POST /once/late HTTP/1.1",
                    "Host: host",
                    "X-Id: late",
                    "X-Key: good",
                    "Content-Length: 0",
                    "",
                    "");
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        }
        fixture.call("POST", "/once/next", "next");
        assertEquals(
                List.of("POST /once/first HTTP/1.1", "POST /once/next HTTP/1.1"),
                server.requestHeads.stream()
                        .map(head -> head.lines().findFirst().orElse(""))
                        .toList());
    }

    /** Failure guarded against: a body or signature that is changed on the way. */
    @Test
    void answerIsPassedOnUnchanged() throws Exception {
        serve((head, output, socket) -> output.write(signed(head, "hello")));
        String answer = fixture.call("POST", "/once/a?b=c", "id-1");
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        assertTrue(answer.contains("X-Seal: seal"), answer);
        assertTrue(answer.endsWith("\r\n\r\nhello"), answer);
    }

    /** Failure guarded against: a path, query or server name other than the one meant reaches the server. */
    @Test
    void requestNamesTheServerAndKeepsItsPath() throws Exception {
        ScriptedServer server = serve((head, output, socket) -> output.write(signed(head, "")));
        fixture.call("POST", "/once/a?b=c%20d", "id-1");
        assertTrue(server.requestHeads.get(0).startsWith("POST /once/a?b=c%20d HTTP/1.1"), server.requestHeads.get(0));
        assertTrue(server.requestHeads.get(0).contains("X-Server: s0"), server.requestHeads.get(0));
    }

    /** Failure guarded against: a router that has just started answers 404 or 401 to a proper request. */
    @Test
    void routerWithoutConfigurationSaysWhenToReturn() throws Exception {
        try (ForwardingFixture empty = new ForwardingFixture()) {
            String answer = empty.call("GET", "/safe/a", "id-1");
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after: 0."), answer);
        }
    }

    /** Failure guarded against: callers are refused by a router that reads its first configuration a moment later. */
    @Test
    void requestWaitsForTheFirstConfiguration() throws Exception {
        try (ForwardingFixture starting = new ForwardingFixture();
                ScriptedServer server =
                        new ScriptedServer((head, output, socket) -> output.write(signed(head, "ok")))) {
            starting.registerServer(server.address());
            Thread reader = new Thread(() -> {
                try {
                    Thread.sleep(50);
                    starting.withConfiguration();
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            reader.start();
            String answer = starting.call("GET", "/safe/a", "id-1");
            reader.join();
            assertTrue(answer.endsWith("ok"), answer);
        }
    }

    /** Failure guarded against: requests of strangers reach servers. */
    @Test
    void unknownKeyAndUnknownRouteAreRefused() throws Exception {
        ScriptedServer server = serve((head, output, socket) -> output.write(signed(head, "")));
        String stranger = lines("GET /safe/a HTTP/1.1", "Host: host", "X-Key: bad", "Connection: close", "");
        assertTrue(fixture.sendRaw(stranger).startsWith("HTTP/1.1 401"));
        assertTrue(fixture.call("GET", "/none/a", "id-1").startsWith("HTTP/1.1 404"));
        assertEquals(0, server.requestHeads.size());
    }

    /** Failure guarded against: a booking that is sent again after its answer was lost. */
    @Test
    void requestThatMayHaveRunIsNotSentAgain() throws Exception {
        ScriptedServer first = serve(CLOSES);
        ScriptedServer second = serve(CLOSES);
        String answer = fixture.call("POST", "/once/a", "id-1");
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertEquals(1, first.requestHeads.size() + second.requestHeads.size());
    }

    /** Failure guarded against: a lookup that fails although another server could answer it. */
    @Test
    void idempotentRequestIsSentToAnotherServer() throws Exception {
        serve(CLOSES);
        serve((head, output, socket) -> output.write(signed(head, "found")));
        for (int i = 0; i < 6; i++) {
            String answer = fixture.call("GET", "/safe/a", "id-" + i);
            assertTrue(answer.endsWith("found"), answer);
        }
    }

    /** Failure guarded against: a caller is not told that its request did not run. */
    @Test
    void refusalOfTheOnlyServerIsPassedOnAsNotRun() throws Exception {
        serve((head, output, socket) -> output.write(answer(head, 503, "X-Not-Run: 1\r\n", "")));
        String answer = fixture.call("POST", "/once/a", "id-1");
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.contains("not_run"), answer);
    }

    /** Failure guarded against: a booking that is refused although another server has room. */
    @Test
    void requestThatDidNotRunIsSentToAnotherServer() throws Exception {
        serve((head, output, socket) -> output.write(answer(head, 503, "X-Not-Run: 1\r\n", "")));
        serve((head, output, socket) -> output.write(signed(head, "booked")));
        for (int i = 0; i < 4; i++) {
            String answer = fixture.call("POST", "/once/a", "id-" + i);
            assertTrue(answer.endsWith("booked"), answer);
        }
    }

    /** Failure guarded against: a caller whose request did not run anywhere is not told when to return. */
    @Test
    void refusalOfAllServersIsPassedOnAsNotRun() throws Exception {
        serve((head, output, socket) -> output.write(answer(head, 503, "X-Not-Run: 1\r\n", "")));
        serve((head, output, socket) -> output.write(answer(head, 503, "X-Not-Run: 1\r\n", "")));
        String answer = fixture.call("POST", "/once/a", "id-1");
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after: "), answer);
    }

    /** Failure guarded against: a success that no server signed. */
    @Test
    void unsignedSuccessIsNotPassedOn() throws Exception {
        serve((head, output, socket) -> output.write(ScriptedServer.response(200, "forged")));
        String answer = fixture.call("POST", "/once/a", "id-1");
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertFalse(answer.contains("forged"), answer);
    }

    /** Failure guarded against: the answer to an earlier request is given to a later one. */
    @Test
    void extraAnswerToAnotherRequestIsSkipped() throws Exception {
        serve((head, output, socket) -> {
            output.write(answer("X-Id: other\r\n", 200, "X-Seal: seal\r\n", "stray"));
            output.write(signed(head, "mine"));
        });
        String answer = fixture.call("POST", "/once/a", "id-1");
        assertTrue(answer.endsWith("mine"), answer);
        assertFalse(answer.contains("stray"), answer);
    }

    /** Failure guarded against: bytes after an answer are taken for the answer to the next request. */
    @Test
    void bytesAfterAnAnswerBelongToNobody() throws Exception {
        ScriptedServer server = serve((head, output, socket) -> {
            output.write(signed(head, "first"));
            output.write(signed(head, "again"));
        });
        assertTrue(fixture.call("GET", "/safe/a", "id-1").endsWith("first"));
        assertTrue(fixture.call("GET", "/safe/b", "id-2").endsWith("first"));
        assertTrue(server.connections.get() <= 2);
    }

    /** Failure guarded against: an answer that was cut looks whole. */
    @Test
    void cutAnswerIsAFailure() throws Exception {
        serve((head, output, socket) -> {
            output.write(ScriptedServer.ascii(
                    "HTTP/1.1 200 OK\r\nX-Seal: seal\r\nX-Id: " + id(head) + "\r\nContent-Length: 10\r\n\r\nabc"));
            socket.close();
        });
        String answer = fixture.call("POST", "/once/a", "id-1");
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
    }

    /** Failure guarded against: events that are missing, doubled or cut where a stream continues elsewhere. */
    @Test
    void brokenStreamContinuesAtTheNextEvent() throws Exception {
        ScriptedServer.Script script = (head, output, socket) -> {
            if (head.contains("X-Resume: 2")) {
                output.write(stream(head, LAST_EVENT));
                output.write(ScriptedServer.ascii("0\r\n\r\n"));
            } else {
                output.write(stream(head, TWO_EVENTS_AND_A_PART));
                output.flush();
                socket.close();
            }
        };
        serve(script);
        serve(script);
        String answer = fixture.call("POST", "/resume/a", "id-1");
        assertEquals(THREE_EVENTS, events(answer));
        assertTrue(answer.endsWith("0\r\n\r\n"), answer);
    }

    /** Failure guarded against: a stream that may not be resumed looks complete after a break. */
    @Test
    void brokenStreamThatMayNotContinueDoesNotLookComplete() throws Exception {
        ScriptedServer.Script script = (head, output, socket) -> {
            output.write(stream(head, ONE_EVENT));
            output.flush();
            socket.close();
        };
        ScriptedServer first = serve(script);
        ScriptedServer second = serve(script);
        String answer = fixture.call("POST", "/stream/a", "id-1");
        assertFalse(answer.endsWith("0\r\n\r\n"), answer);
        assertEquals(1, first.requestHeads.size() + second.requestHeads.size());
    }

    /** Failure guarded against: one request hidden in another. */
    @Test
    void requestWithTwoLengthsIsRejected() throws Exception {
        ScriptedServer server = serve((head, output, socket) -> output.write(signed(head, "")));
        String answer = fixture.sendRaw(lines(
                "POST /once/a HTTP/1.1",
                "Host: host",
                "X-Key: good",
                "Content-Length: 4",
                "Transfer-Encoding: chunked",
                "",
                "0",
                "",
                "GET /safe/x HTTP/1.1",
                "Host: host",
                ""));
        assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
        assertEquals(0, server.requestHeads.size());
    }

    /** Failure guarded against: a body beyond the limit fills the memory of the router. */
    @Test
    void bodyBeyondTheLimitIsRejected() throws Exception {
        String answer =
                fixture.sendRaw("POST /once/a HTTP/1.1\r\nHost: host\r\nX-Key: good\r\nContent-Length: 10001\r\n\r\n"
                        + "x".repeat(10_001));
        assertTrue(answer.startsWith("HTTP/1.1 413"), answer);
    }

    /** Failure guarded against: a caller who waits longer than the route allows. */
    @Test
    void silentServerEndsWithTheTimeoutOfTheRoute() throws Exception {
        serve((head, output, socket) -> Thread.sleep(3000));
        long began = System.nanoTime();
        String answer = fixture.call("POST", "/short/a", "id-1");
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        assertTrue(answer.startsWith("HTTP/1.1 504"), answer);
        assertTrue(millis < 300 + 500, "took " + millis + " ms");
    }

    /** Failure guarded against: a server that works on after its caller has left. */
    @Test
    void serverIsToldWhenTheCallerLeaves() throws Exception {
        CountDownLatch began = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        serve((head, output, socket) -> {
            began.countDown();
            if (socket.getInputStream().read() < 0) {
                closed.countDown();
            }
        });
        try (Socket caller = fixture.connect()) {
            caller.getOutputStream()
                    .write("POST /once/a HTTP/1.1\r\nHost: host\r\nX-Key: good\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            assertTrue(began.await(5, TimeUnit.SECONDS));
        }
        assertTrue(closed.await(500, TimeUnit.MILLISECONDS));
    }

    /** Failure guarded against: work for a server that has left, on a connection that is still open. */
    @Test
    void keptConnectionToAServerThatLeftIsNotUsed() throws Exception {
        ScriptedServer server = serve((head, output, socket) -> output.write(signed(head, "")));
        fixture.call("GET", "/safe/a", "id-1");
        fixture.removeServer("s0");
        String answer = fixture.call("GET", "/safe/a", "id-2");
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertEquals(1, server.requestHeads.size());
    }

    /** Failure guarded against: a new connection to a server for each request. */
    @Test
    void connectionToAServerIsKept() throws Exception {
        ScriptedServer server = serve((head, output, socket) -> output.write(signed(head, "")));
        for (int i = 0; i < 4; i++) {
            fixture.call("GET", "/safe/a", "id-" + i);
        }
        assertEquals(1, server.connections.get());
    }

    /** Failure guarded against: a second request on a caller's connection is lost or answered out of order. */
    @Test
    void callersConnectionCarriesSeveralRequests() throws Exception {
        serve((head, output, socket) -> output.write(signed(head, id(head))));
        String one = lines("GET /safe/a HTTP/1.1", "Host: host", "X-Key: good", "X-Id: one", "");
        String two = lines("GET /safe/a HTTP/1.1", "Host: host", "X-Key: good", "X-Id: two", "Connection: close", "");
        String answers = fixture.sendRaw(one + two);
        assertTrue(answers.indexOf("\r\n\r\none") > 0, answers);
        assertTrue(answers.indexOf("\r\n\r\ntwo") > answers.indexOf("\r\n\r\none"), answers);
    }

    private ScriptedServer serve(ScriptedServer.Script script) throws Exception {
        ScriptedServer server = new ScriptedServer(script);
        servers.add(server);
        fixture.registerServer(server.address());
        return server;
    }

    private static byte[] signed(String head, String body) {
        return answer(head, 200, "X-Seal: seal\r\n", body);
    }

    private static byte[] answer(String head, int status, String headers, String body) {
        return ScriptedServer.ascii("HTTP/1.1 " + status + " X\r\nX-Id: " + id(head) + "\r\n" + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static byte[] stream(String head, String events) {
        return ScriptedServer.ascii("HTTP/1.1 200 OK\r\nX-Id: " + id(head)
                + "\r\nX-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(events.length()) + "\r\n" + events + "\r\n");
    }

    private static String lines(String... lines) {
        return String.join("\r\n", lines) + "\r\n";
    }

    private static String event(int id, String data) {
        return "id: " + id + "\ndata: " + data + "\n\n";
    }

    private static String id(String head) {
        int at = head.indexOf("X-Id: ");
        return at < 0 ? "" : head.substring(at + 6, head.indexOf("\r\n", at));
    }

    /** Joins the chunks of an answer. */
    private static String events(String answer) {
        StringBuilder body = new StringBuilder();
        int at = answer.indexOf("\r\n\r\n") + 4;
        while (at < answer.length()) {
            int lineEnd = answer.indexOf("\r\n", at);
            int size = Integer.parseInt(answer.substring(at, lineEnd), 16);
            if (size == 0) {
                break;
            }
            body.append(answer, lineEnd + 2, lineEnd + 2 + size);
            at = lineEnd + 2 + size + 2;
        }
        return body.toString();
    }
}
