package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against servers that send bytes without end, which filled the memory of a router or kept it reading. */
final class EndlessResponseTest {

    /** Bytes that a server may send before the router closes its connection; includes socket buffers. */
    private static final long MAX_SENT_BYTES = 32L << 20;

    /** A request is answered long before its deadline of 3 s. */
    private static final Duration MAX_ANSWER_TIME = Duration.ofSeconds(2);

    /** Responses that are in progress at the same time. */
    private static final int CALLERS = 100;

    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");

    private final List<ScriptedServer> servers = new ArrayList<>();
    private final AtomicLong sentBytes = new AtomicLong();
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

    /** Each response was bounded, but many together filled the heap, and no request was answered any more. */
    @Test
    void manyEndlessBodiesLeaveMemoryToOthers() throws Exception {
        holdPartOf("Content-Length: 3000000\r\n\r\n" + "x".repeat(1 << 20));
        assertMemoryIsBounded("/once/");
    }

    @Test
    void manyEndlessEventsLeaveMemoryToOthers() throws Exception {
        holdPartOf("Content-Type: text/event-stream\r\n\r\ndata: " + "x".repeat(1 << 19));
        assertMemoryIsBounded("/stream/");
    }

    @Test
    void manyEndlessHeadsLeaveMemoryToOthers() throws Exception {
        holdPartOf(("X-More: " + "x".repeat(1000) + "\r\n").repeat(60));
        assertMemoryIsBounded("/once/");
    }

    /** Starts a server that answers small requests and sends a part of a response to others, which never ends. */
    private void holdPartOf(String part) throws Exception {
        fixture.serve((head, output, socket) -> {
            String id = id(head);
            String start = "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: seal\r\n";
            boolean small = head.contains("/safe/");
            output.write(ScriptedServer.ascii(start + (small ? "Content-Length: 5\r\n\r\nsmall" : part)));
            output.flush();
        });
    }

    private void assertMemoryIsBounded(String path) throws Exception {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String id = "held-" + i;
            callers.add(new Thread(() -> callIgnoringResponse(path + id, id)));
        }
        callers.forEach(Thread::start);
        long end = System.nanoTime() + MAX_ANSWER_TIME.toNanos();
        long mostBytes = 0;
        for (int i = 0; System.nanoTime() < end; i++) {
            String response = fixture.call("POST", "/safe/small", "small-" + i);
            assertTrue(response.endsWith("small"), response);
            long bytes = fixture.responseBytes();
            assertTrue(bytes <= ForwardingFixture.RESPONSE_BYTES / 2, bytes + " bytes are held");
            mostBytes = Math.max(mostBytes, bytes);
        }
        assertTrue(mostBytes > ForwardingFixture.RESPONSE_BYTES / 4, "the limit was not approached: " + mostBytes);
        for (Thread caller : callers) {
            caller.join();
        }
        assertEquals(0, fixture.responseBytes());
    }

    private void callIgnoringResponse(String path, String id) {
        try {
            fixture.call("POST", path, id);
        } catch (IOException e) {
            // The connection of the caller may be closed instead of a response.
            return;
        }
    }

    @Test
    void statusLineWithoutEndIsCut() throws Exception {
        serve("HTTP/1.1 200 ", "x".repeat(1000));
        assertBadGatewayInTime("/once/a");
    }

    @Test
    void headerLinesWithoutEndAreCut() throws Exception {
        serve("HTTP/1.1 200 OK\r\n", "X-More: more\r\n".repeat(50));
        assertBadGatewayInTime("/once/a");
    }

    @Test
    void headerLineWithoutEndIsCut() throws Exception {
        serve("HTTP/1.1 200 OK\r\nX-More: ", "x".repeat(1000));
        assertBadGatewayInTime("/once/a");
    }

    @Test
    void emptyLinesWithoutEndAreCut() throws Exception {
        serve("", "\r\n".repeat(500));
        assertBadGatewayInTime("/once/a");
    }

    @Test
    void interimResponsesWithoutEndAreCut() throws Exception {
        serve("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(50));
        assertBadGatewayInTime("/once/a");
    }

    @Test
    void responsesToOtherRequestsWithoutEndAreCut() throws Exception {
        serve("", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: seal\r\nContent-Length: 5\r\n\r\nhello".repeat(20));
        assertBadGatewayInTime("/once/a");
    }

    @Test
    void bodyWithoutEndIsCut() throws Exception {
        serve(signedHead() + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + "x".repeat(1000) + "\r\n");
        assertBadGatewayInTime("/once/a");
    }

    @Test
    void bodyThatEndsWithItsConnectionIsCut() throws Exception {
        serve(signedHead() + "\r\n", "x".repeat(1000));
        assertBadGatewayInTime("/once/a");
    }

    @Test
    void trailersWithoutEndAreCut() throws Exception {
        serve(signedHead() + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n".repeat(50));
        assertBadGatewayInTime("/once/a");
    }

    @Test
    void eventWithoutEndBreaksTheStream() throws Exception {
        serve(
                signedHead() + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                "3e8\r\n" + "x".repeat(1000) + "\r\n");
        long start = System.nanoTime();
        String response = fixture.call("POST", "/stream/a", "id-1");
        assertTrue(System.nanoTime() - start < MAX_ANSWER_TIME.toNanos(), "the stream ended late");
        assertTrue(!response.endsWith("0\r\n\r\n"), "the cut stream looks complete");
        assertServerWasCutOff();
    }

    /** A byte at a time stays below every size limit, so the deadline ends it. */
    @Test
    void slowHeadWithoutEndIsAnsweredAtTheDeadline() throws Exception {
        ScriptedServer server = new ScriptedServer((head, output, socket) -> {
            output.write(ScriptedServer.ascii("HTTP/1.1 200 OK\r\nX-More: "));
            while (true) {
                output.write('x');
                output.flush();
                Thread.sleep(20);
            }
        });
        servers.add(server);
        fixture.registerServer(server.address());
        String response = fixture.call("POST", "/short/a", "id-1");
        assertTrue(response.startsWith("HTTP/1.1 504"), response);
    }

    @Test
    void idempotentRequestIsServedByAnotherServer() throws Exception {
        serve("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(50));
        ScriptedServer sound = new ScriptedServer((head, output, socket) -> output.write(ScriptedServer.ascii(
                "HTTP/1.1 200 OK\r\nX-Id: " + id(head) + "\r\nX-Seal: seal\r\nContent-Length: 5\r\n\r\nhello")));
        servers.add(sound);
        fixture.registerServer(sound.address());
        for (int i = 0; i < 4; i++) {
            String response = fixture.call("GET", "/safe/a", "id-" + i);
            assertTrue(response.endsWith("hello"), response);
        }
    }

    /** Sends a prefix and then a block again and again until the router closes the connection. */
    private void serve(String prefix, String block) throws Exception {
        ScriptedServer server = new ScriptedServer((head, output, socket) -> {
            output.write(ScriptedServer.ascii(prefix.replace("$id", id(head))));
            writeEndlessly(output, ScriptedServer.ascii(block));
        });
        servers.add(server);
        fixture.registerServer(server.address());
    }

    private void writeEndlessly(OutputStream output, byte[] block) throws IOException {
        while (sentBytes.addAndGet(block.length) < 4 * MAX_SENT_BYTES) {
            output.write(block);
        }
    }

    private void assertBadGatewayInTime(String path) throws Exception {
        long start = System.nanoTime();
        String response = fixture.call("POST", path, "id-1");
        assertTrue(System.nanoTime() - start < MAX_ANSWER_TIME.toNanos(), "answered late: " + response);
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
        assertServerWasCutOff();
    }

    /** Waits until the server has noticed that its connection is closed. */
    private void assertServerWasCutOff() throws InterruptedException {
        long previous = -1;
        long deadline = System.nanoTime() + MAX_ANSWER_TIME.toNanos();
        while (sentBytes.get() != previous && System.nanoTime() < deadline) {
            previous = sentBytes.get();
            Thread.sleep(200);
        }
        assertEquals(previous, sentBytes.get(), "the server still sends");
        assertTrue(previous < MAX_SENT_BYTES, previous + " bytes were read");
    }

    private static String signedHead() {
        return "HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Seal: seal\r\n";
    }

    private static String id(String head) {
        var matcher = ID.matcher(head);
        return matcher.find() ? matcher.group(1) : "none";
    }
}
