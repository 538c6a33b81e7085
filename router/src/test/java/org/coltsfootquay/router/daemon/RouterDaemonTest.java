package org.coltsfootquay.router.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import org.coltsfootquay.standin.engine.ExpectedAnswer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class RouterDaemonTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static TestFleet fleet;

    @BeforeAll
    static void start() throws Exception {
        fleet = new TestFleet(2, 2);
    }

    @AfterAll
    static void close() {
        fleet.close();
    }

    /** Failure guarded against: an answer does not arrive whole at the caller through any router. */
    @Test
    void wholeAnswerThroughEachRouter() throws Exception {
        for (RouterDaemon router : fleet.routers) {
            HttpResponse<String> answer = fleet.model(router, "question", 20, false);
            assertEquals(200, answer.statusCode(), answer.body());
            JsonNode body = JSON.readTree(answer.body());
            assertEquals(
                    ExpectedAnswer.of("question").text(20),
                    body.at("/choices/0/message/content").asText());
            assertEquals(20, body.at("/usage/completion_tokens").asInt());
            assertTrue(answer.headers().firstValue("x-request-id").isPresent());
        }
    }
}
