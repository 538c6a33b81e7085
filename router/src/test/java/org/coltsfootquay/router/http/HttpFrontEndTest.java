package org.coltsfootquay.router.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpFrontEndTest {

    private static final HttpLimits LIMITS =
            new HttpLimits(256, 1024, 2048, 3, 2, Duration.ofSeconds(5), Duration.ofSeconds(5));

    private final EventLoopGroup loops = ChannelUtils.eventLoops("http-test", 1);
    private final BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
    private final HttpFrontEnd frontEnd = new HttpFrontEnd(loops, LIMITS, exchanges::add);
    private final String address = frontEnd.listen("127.0.0.1:0").join();

    @AfterEach
    void close() {
        frontEnd.close();
        ChannelUtils.shutDown(loops).join();
    }

    /** Guards against responses that are sent out of order on one connection. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (Client client = new Client()) {
            client.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nPOST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi");
            HttpExchange first = exchange();
            assertEquals("/1", first.path());
            assertNull(
                    exchanges.poll(50, TimeUnit.MILLISECONDS),
                    "the second request is handled before the first response");
            first.respond(200, Map.of(), bytes("one"));
            HttpExchange second = exchange();
            assertEquals("hi", new String(second.body(), StandardCharsets.UTF_8));
            second.start(200, Map.of("x-a", "b"));
            second.write(bytes("two"));
            second.end();
            assertTrue(client.readUntil("one").contains("content-length: 3"));
            String response = client.readUntil("\r\n0\r\n");
            assertTrue(response.contains("transfer-encoding: chunked") && response.contains("3\r\ntwo"), response);
        }
    }

    /** Guards against an unbounded request that exhausts memory, and a rejected request that reaches a server. */
    @Test
    void oversizedAndMalformedRequestsAreRejectedBeforeTheHandler() throws Exception {
        String[][] cases = {
            {"GET /" + "a".repeat(300) + " HTTP/1.1\r\n\r\n", "414"},
            {"GET / HTTP/1.1\r\nX-A: " + "a".repeat(2000) + "\r\n\r\n", "431"},
            {"POST / HTTP/1.1\r\nContent-Length: 3000\r\nExpect: 100-continue\r\n\r\n", "413"},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + "a".repeat(4096), "413"},
            {"nonsense\r\n\r\n", "400"},
            {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
        };
        for (String[] entry : cases) {
            try (Client client = new Client()) {
                client.send(entry[0]);
                String response = client.readAll();
                assertTrue(response.startsWith("HTTP/1.1 " + entry[1]), entry[1] + " expected but got: " + response);
                assertTrue(response.contains("\"execution\":\"not_run\"") && response.contains("\"remedy\""), response);
            }
        }
        assertTrue(exchanges.isEmpty());
    }

    /** Guards against a request that is joined from two, or that a server would read differently. */
    @Test
    void joinedAndAmbiguousHeadsAreRejectedBeforeTheHandler() throws Exception {
        String[] heads = {
            "POPOST /b HTTP/1.1\r\nHost: x\r\n\r\n",
            "GET /a HTTP/1.1\r\nX-Id: oPOST /b HTTP/1.1\r\nHost: x\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
            "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "GET /a HTTP/2.0\r\nHost: x\r\n\r\n",
        };
        for (String head : heads) {
            try (Client client = new Client()) {
                client.send(head);
                String response = client.readUntil("\r\n\r\n");
                assertTrue(response.startsWith("HTTP/1.1 400"), head + response);
            }
        }
        assertTrue(exchanges.isEmpty());
    }

    /** Guards against a missing 100 Continue, without which the caller never sends its body. */
    @Test
    void expectationIsAnsweredBeforeTheBody() throws Exception {
        try (Client client = new Client()) {
            client.send("POST /b HTTP/1.1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
            client.readUntil("HTTP/1.1 100 Continue\r\n\r\n");
            client.send("body");
            HttpExchange exchange = exchange();
            assertEquals("body", new String(exchange.body(), StandardCharsets.UTF_8));
            exchange.respond(204, Map.of(), new byte[0]);
            client.readUntil("204");
        }
    }

    /** Guards against a server that continues to work for a disconnected caller. */
    @Test
    void disconnectIsReportedWhileARequestIsInProgress() throws Exception {
        CompletableFuture<Void> disconnected = new CompletableFuture<>();
        try (Client client = new Client()) {
            client.send("GET / HTTP/1.1\r\n\r\n");
            HttpExchange exchange = exchange();
            exchange.onDisconnect(() -> disconnected.complete(null));
            exchange.start(200, Map.of());
            exchange.write(bytes("part"));
            client.readUntil("part");
        }
        disconnected.get(5, TimeUnit.SECONDS);
    }

    /** Guards against an aborted response that looks complete to the caller. */
    @Test
    void abortedResponseHasNoLastChunk() throws Exception {
        try (Client client = new Client()) {
            client.send("GET / HTTP/1.1\r\n\r\n");
            HttpExchange exchange = exchange();
            exchange.start(200, Map.of());
            exchange.write(bytes("part"));
            exchange.abort();
            assertFalse(client.readAll().contains("\r\n0\r\n"));
        }
    }

    /** Guards against a router that buffers the response to a slow caller without bound. */
    @Test
    void slowCallerMakesTheExchangeUnwritableUntilItReads() throws Exception {
        try (Client client = new Client()) {
            client.send("GET / HTTP/1.1\r\n\r\n");
            HttpExchange exchange = exchange();
            CountDownLatch writable = new CountDownLatch(1);
            exchange.onWritable(() -> {
                writable.countDown();
                exchange.end();
            });
            exchange.start(200, Map.of());
            int parts = 0;
            while (exchange.isWritable() && parts < 2_000) {
                exchange.write(new byte[16 * 1024]);
                parts++;
                CompletableFuture<Void> written = new CompletableFuture<>();
                exchange.eventLoop().execute(() -> written.complete(null));
                written.join();
            }
            assertTrue(parts < 2_000, "the connection never became unwritable");
            client.readUntil("\r\n0\r\n");
            assertTrue(writable.await(5, TimeUnit.SECONDS));
        }
    }

    /** Guards against a graceful shutdown that breaks a response in progress, or waits for idle connections. */
    @Test
    void drainClosesIdleConnectionsAndCompletesRequests() throws Exception {
        try (Client idle = new Client();
                Client busy = new Client()) {
            busy.send("GET / HTTP/1.1\r\n\r\n");
            HttpExchange exchange = exchange();
            CompletableFuture<Void> drained = frontEnd.drain();
            assertEquals("", idle.readAll());
            assertFalse(drained.isDone());
            exchange.respond(200, Map.of(), bytes("done"));
            assertTrue(busy.readAll().contains("connection: close"));
            drained.get(5, TimeUnit.SECONDS);
        }
    }

    /** Guards against an unbounded number of connections that exhausts the resources of the process. */
    @Test
    void connectionsBeyondTheLimitAreClosed() throws Exception {
        try (Client a = new Client();
                Client b = new Client();
                Client c = new Client()) {
            a.send("GET / HTTP/1.1\r\n\r\n");
            exchange().respond(200, Map.of(), bytes("a"));
            a.readUntil("a");
            b.send("GET / HTTP/1.1\r\n\r\n");
            exchange();
            c.send("GET / HTTP/1.1\r\n\r\n");
            exchange();
            try (Client d = new Client()) {
                assertEquals("", d.readAll());
            }
            assertEquals(1, frontEnd.refusedConnections());
        }
    }

    private HttpExchange exchange() throws InterruptedException {
        HttpExchange exchange = exchanges.poll(5, TimeUnit.SECONDS);
        assertTrue(exchange != null, "no request arrived");
        return exchange;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private final class Client implements AutoCloseable {

        private final Socket socket;
        private final BufferedReader reader;

        private Client() throws IOException {
            int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(5_000);
            reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        }

        private void send(String text) throws IOException {
            socket.getOutputStream().write(bytes(text));
        }

        private String readUntil(String end) throws IOException {
            StringBuilder text = new StringBuilder();
            for (int next = reader.read(); next >= 0; next = reader.read()) {
                text.append((char) next);
                if (next == end.charAt(end.length() - 1) && text.indexOf(end, text.length() - end.length()) >= 0) {
                    return text.toString();
                }
            }
            throw new IOException("the connection closed before \"" + end + "\" was received");
        }

        private String readAll() throws IOException {
            StringBuilder text = new StringBuilder();
            try {
                for (int next = reader.read(); next >= 0; next = reader.read()) {
                    text.append((char) next);
                }
            } catch (java.net.SocketException e) {
                // A connection closed with unread request bytes is reset; the text received before is the result.
                return text.toString();
            }
            return text.toString();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
