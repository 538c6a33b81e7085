package org.coltsfootquay.router.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against responses without a request that are read as, or joined to, the response to the next request. */
class StaleResponseTest {

    /** Late second response to the first request. */
    private static final String STALE = "HTTP/1.1 200 OK\r\nX-Origin: stale\r\nContent-Length: 5\r\n\r\nstale";

    private final EventLoopGroup loops = ChannelUtils.eventLoops("stale-response-test", 1);
    private final BackendClient client = new BackendClient(loops);

    @AfterEach
    void close() {
        client.close();
        ChannelUtils.shutDown(loops).join();
    }

    /** A late response that was cut anywhere, between two requests. */
    @Test
    void bytesBetweenTwoRequestsCloseTheConnection() throws Exception {
        for (int end = 1; end <= STALE.length(); end++) {
            byte[] stale = ScriptedServer.ascii(STALE.substring(0, end));
            CountDownLatch firstReceived = new CountDownLatch(1);
            AtomicInteger requests = new AtomicInteger();
            try (ScriptedServer server = new ScriptedServer((head, output, socket) -> {
                if (requests.getAndIncrement() == 0) {
                    output.write(ScriptedServer.response(200, "first"));
                    firstReceived.await();
                    output.write(stale);
                } else {
                    output.write(ScriptedServer.response(412, "second"));
                }
            })) {
                assertEquals("200 first", call(server));
                firstReceived.countDown();
                awaitNoConnection("after " + end + " bytes");
                assertEquals("412 second", call(server), "after " + end + " bytes");
                server.crash();
                awaitNoConnection("after the end of the server");
            }
        }
    }

    /** A late response that arrives together with the response to the request before. */
    @Test
    void bytesBehindAResponseCloseTheConnection() throws Exception {
        List<String> wrong = new ArrayList<>();
        for (int end = 1; end <= STALE.length(); end++) {
            String stale = STALE.substring(0, end);
            AtomicInteger requests = new AtomicInteger();
            try (ScriptedServer server = new ScriptedServer((head, output, socket) -> {
                if (requests.getAndIncrement() == 0) {
                    output.write(ScriptedServer.ascii("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" + stale));
                } else {
                    output.write(ScriptedServer.response(412, "second"));
                }
            })) {
                assertEquals("200 first", call(server));
                String result = call(server);
                if (!result.equals("412 second") || server.connections.get() != 2) {
                    wrong.add(result + " on connection " + server.connections.get() + " after " + end + " bytes");
                }
            }
        }
        assertEquals(List.of(), wrong);
    }

    private void awaitNoConnection(String when) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (client.connectionCount() > 0) {
            assertTrue(System.nanoTime() < deadline, "the connection is still open " + when);
            Thread.sleep(1);
        }
    }

    /** Sends a request and returns the status and body, or the failure. */
    private String call(ScriptedServer server) throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        client.send(
                new BackendRequest(
                        server.address(),
                        "POST",
                        "/",
                        Map.of(),
                        new byte[0],
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(5)),
                new Collector(result));
        String text = result.get(10, TimeUnit.SECONDS);
        assertTrue(!text.isEmpty());
        return text;
    }

    private static final class Collector implements BackendHandler {

        private final CompletableFuture<String> result;
        private final StringBuilder body = new StringBuilder();
        private int status;

        private Collector(CompletableFuture<String> result) {
            this.result = result;
        }

        @Override
        public void headersReceived(int newStatus, Map<String, String> headers) {
            status = newStatus;
        }

        @Override
        public void bodyPartReceived(byte[] bytes) {
            body.append(new String(bytes, StandardCharsets.US_ASCII));
        }

        @Override
        public void completed() {
            result.complete(status + " " + body);
        }

        @Override
        public void failed(BackendFailure failure) {
            result.complete(failure.kind() + " " + failure.message());
        }
    }
}
