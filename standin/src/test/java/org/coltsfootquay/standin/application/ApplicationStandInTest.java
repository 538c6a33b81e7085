package org.coltsfootquay.standin.application;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Map;
import org.coltsfootquay.standin.http.StandInClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an application server stand-in that misses a repeated execution. */
final class ApplicationStandInTest {

    private final ApplicationStandIn server =
            new ApplicationStandIn(ApplicationSettings.fast().withChecksFencing(true)).start();
    private final StandInClient client = new StandInClient(server.address());

    @AfterEach
    void close() {
        server.close();
    }

    @Test
    void answerNamesTheRequest() throws Exception {
        String answer = client.send("POST", "/drawings/7/checkout", "{}", "X-Request-Id", "r1")
                .body();

        assertEquals("r1", StandInClient.parse(answer).path("requestId").asText());
        assertEquals(1, server.executions().ofRequestId("r1"));
    }

    @Test
    void lostAnswerCountsAsExecution() throws Exception {
        server.faults().turn(faults -> faults.withLoseNextAnswers(1));
        assertThrows(IOException.class, () -> client.send("POST", "/bookings", "{}", "Idempotency-Key", "k"));

        client.send("POST", "/bookings", "{}", "Idempotency-Key", "k");

        assertEquals(Map.of("k", 2), server.executions().repeatedKeys());
    }

    @Test
    void fencedRequestIsNotExecuted() throws Exception {
        client.send("POST", "/bookings", "{}", "Idempotency-Key", "a", "X-Fencing-Number", "5");

        assertEquals(
                409,
                client.send("POST", "/bookings", "{}", "Idempotency-Key", "b", "X-Fencing-Number", "4")
                        .statusCode());
        assertEquals(0, server.executions().ofKey("b"));
    }
}
