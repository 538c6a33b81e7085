package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that a stopping router takes although it ends before them, and callers without response. */
final class CallerDrainTest {

    /** Shorter than the timeout of the routes (3 s), so that no request with the whole timeout can end in time. */
    private static final Duration STOP_TIME = Duration.ofMillis(2500);

    private static final Duration ADDRESS_TIME = Duration.ofMillis(400);
    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");

    private final AtomicInteger arrivals = new AtomicInteger();
    private ForwardingFixture fixture;
    private Duration responseTime = Duration.ZERO;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardingFixture().withConfiguration();
        fixture.serve((head, output, socket) -> {
            arrivals.incrementAndGet();
            Thread.sleep(responseTime.toMillis());
            Matcher id = ID.matcher(head);
            output.write(ScriptedServer.ascii("HTTP/1.1 200 X\r\nX-Id: " + (id.find() ? id.group(1) : "")
                    + "\r\nX-Seal: seal\r\nContent-Length: 4\r\n\r\nbody"));
        });
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    @Test
    void requestThatCannotBeRepeatedIsTakenOnlyIfItsTimeoutIsInTheGrace() throws Exception {
        var unused = fixture.drain(STOP_TIME, ADDRESS_TIME);
        String response = fixture.call("POST", "/once/a", "id-1");
        assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("not_run"), response);
        assertEquals(0, arrivals.get());
        response = fixture.call("POST", "/once/a", "id-2", "X-Deadline: 1000\r\n");
        assertTrue(response.endsWith("body"), response);
    }

    @Test
    void repeatableRequestIsServedWhileCallersUseTheAddress() throws Exception {
        var unused = fixture.drain(STOP_TIME, ADDRESS_TIME);
        assertTrue(fixture.call("POST", "/safe/a", "id-1").endsWith("body"));
    }

    @Test
    void rejectedCallerIsToldToComeBackAtOnceElsewhere() throws Exception {
        var unused = fixture.drain(STOP_TIME, ADDRESS_TIME);
        String response = fixture.call("POST", "/once/a", "id-1").toLowerCase(java.util.Locale.ROOT);
        assertTrue(response.contains("retry-after: 0") && response.contains("connection: close"), response);
    }

    /** The connections of callers were closed without any response at the end of the grace. */
    @Test
    void callerThatWaitsAtTheEndGetsAResponse() throws Exception {
        responseTime = Duration.ofSeconds(4);
        CompletableFuture<String> waiting = callAsync("/once/a", "id-1");
        awaitArrival();
        long start = System.nanoTime();
        CompletableFuture<String> drained = fixture.drain(STOP_TIME, ADDRESS_TIME);
        String response = waiting.get();
        assertTrue(response.startsWith("HTTP/1.1 502") && response.contains("\"execution\":\"unknown\""), response);
        drained.get();
        assertTrue(System.nanoTime() - start < STOP_TIME.toNanos());
    }

    /** With a long cache time of addresses, requests were taken until the end of the grace. */
    @Test
    void longAddressTimeDoesNotUseUpTheGrace() throws Exception {
        var unused = fixture.drain(STOP_TIME, Duration.ofSeconds(10));
        Thread.sleep(STOP_TIME.dividedBy(2).toMillis());
        boolean served;
        try {
            served = fixture.call("POST", "/safe/a", "id-1").contains("200");
        } catch (IOException e) {
            served = false;
        }
        assertFalse(served);
    }

    @Test
    void drainEndsEarlyWithoutRequests() throws Exception {
        long start = System.nanoTime();
        assertEquals("quiet", fixture.drain(STOP_TIME, ADDRESS_TIME).get());
        assertTrue(System.nanoTime() - start < STOP_TIME.toNanos());
    }

    private CompletableFuture<String> callAsync(String path, String id) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return fixture.call("POST", path, id);
            } catch (IOException e) {
                return e.toString();
            }
        });
    }

    private void awaitArrival() throws InterruptedException {
        while (arrivals.get() == 0) {
            Thread.sleep(5);
        }
    }
}
