package org.coltsfootquay.router.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.InputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.protocol.generated.Frame;
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
            HttpResponse<String> answer = fleet.sendModelRequest(router, "question", 20, false);
            assertEquals(200, answer.statusCode(), answer.body());
            JsonNode body = JSON.readTree(answer.body());
            assertEquals(
                    ExpectedAnswer.of("question").text(20),
                    body.at("/choices/0/message/content").asText());
            assertEquals(20, body.at("/usage/completion_tokens").asInt());
            assertTrue(answer.headers().firstValue("x-request-id").isPresent());
        }
    }

    /** Failure guarded against: a stream loses, repeats or reorders tokens, or lacks its end mark. */
    @Test
    void streamArrivesInOrderAndEndsWithItsMark() throws Exception {
        for (RouterDaemon router : fleet.routers) {
            HttpResponse<String> answer = fleet.sendModelRequest(router, "stream", 30, true);
            assertEquals(200, answer.statusCode());
            assertEquals(
                    "text/event-stream",
                    answer.headers().firstValue("content-type").orElse(""));
            assertEquals(ExpectedAnswer.of("stream").text(30), TestFleet.joinTokens(answer.body()));
            assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
        }
    }

    /** Failure guarded against: a request is not served when its owner is another router. */
    @Test
    void requestsCrossFromOneRouterToAnOwnerAtTheOther() throws Exception {
        for (RouterDaemon router : fleet.routers) {
            HttpResponse<String> answer = fleet.send(fleet.request(router, "/status/7?x=1", TestFleet.WORKSPACE_KEY));
            assertEquals(200, answer.statusCode(), answer.body());
            assertEquals("/status/7", JSON.readTree(answer.body()).path("path").asText());
        }
        long enqueued = fleet.routers.stream()
                .mapToLong(router -> router.network()
                        .counters()
                        .byMessageType()
                        .get(Frame.BodyCase.ENQUEUE)
                        .sentFrames()
                        .sum())
                .sum();
        assertTrue(enqueued >= 1, "one of the two routers does not own the application server");
    }

    /** Failure guarded against: a repeated booking runs twice. */
    @Test
    void repeatedBookingIsAnsweredFromItsRecord() throws Exception {
        String first = "";
        for (int i = 0; i < 4; i++) {
            HttpResponse<String> answer = book(fleet.routers.get(i % 2));
            assertEquals(200, answer.statusCode(), answer.body());
            first = first.isEmpty() ? answer.body() : first;
            assertEquals(first, answer.body());
        }
        assertEquals(0, fleet.application.counters().value("repeatedExecutions"));
        for (int i = 0; i < 8; i++) {
            // Eight keys reach several shards, so that both routers batch writes for each other.
            HttpResponse<String> answer =
                    fleet.send(fleet.request(fleet.routers.get(i % 2), "/bookings/post-8", TestFleet.WORKSPACE_KEY)
                            .header("Idempotency-Key", "shard-" + i)
                            .POST(HttpRequest.BodyPublishers.noBody()));
            assertEquals(200, answer.statusCode(), answer.body());
        }
        assertTrue(fleet.routers.stream()
                        .mapToLong(router -> router.network()
                                .counters()
                                .byMessageType()
                                .get(Frame.BodyCase.RECORD_BATCH)
                                .sentFrames()
                                .sum())
                        .sum()
                > 0);
        HttpResponse<String> other = fleet.send(fleet.request(fleet.routers.get(0), "/bookings/post-7", TestFleet.WORKSPACE_KEY)
                .header("Idempotency-Key", "booking-1")
                .POST(HttpRequest.BodyPublishers.ofString("{\"slot\":2}")));
        assertEquals(422, other.statusCode(), other.body());
        HttpResponse<String> without = fleet.send(fleet.request(fleet.routers.get(0), "/bookings/x", TestFleet.WORKSPACE_KEY)
                .POST(HttpRequest.BodyPublishers.noBody()));
        assertEquals("key_required", TestFleet.errorCode(without));
    }

    /** Failure guarded against: input that cannot run is forwarded, or refused without a remedy. */
    @Test
    void invalidRequestsAreRefusedAsNotRun() throws Exception {
        RouterDaemon router = fleet.routers.get(0);
        assertEquals(
                "unauthorized",
                TestFleet.errorCode(fleet.send(fleet.request(router, "/v1/chat/completions", "wrong key")
                        .POST(HttpRequest.BodyPublishers.ofString("{}")))));
        assertEquals(
                "bad_request",
                TestFleet.errorCode(fleet.send(fleet.request(router, "/v1/chat/completions", TestFleet.WORKSPACE_KEY)
                        .POST(HttpRequest.BodyPublishers.ofString("{")))));
        assertEquals(
                "unknown_class", TestFleet.errorCode(fleet.send(fleet.request(router, "/elsewhere", TestFleet.WORKSPACE_KEY))));
        assertEquals(
                "unauthorized",
                TestFleet.errorCode(fleet.send(fleet.request(router, "/v1/operator/configuration", TestFleet.WORKSPACE_KEY))));
    }

    /** Failure guarded against: an engine generates tokens for a caller that went away. */
    @Test
    void callerThatGoesAwayCancelsItsStreamOnTheEngine() throws Exception {
        RouterDaemon router = fleet.routers.get(0);
        HttpResponse<InputStream> answer = fleet.httpClient.send(
                fleet.modelRequest(router, "long", 2_000, true).build(), HttpResponse.BodyHandlers.ofInputStream());
        assertTrue(answer.body().read() >= 0);
        answer.body().close();
        TestFleet.await(
                "no request is left",
                () -> fleet.routers.stream()
                        .allMatch(each -> each.metrics().toJson().contains("\"requests_in_progress\":0.0")));
        TestFleet.await(
                "no stream is left",
                () -> fleet.engines.stream()
                        .allMatch(engine -> engine.counters().value("running") == 0));
    }

    /** Failure guarded against: a stream whose connection breaks ends early or repeats tokens. */
    @Test
    void brokenStreamIsResumedWithoutLossOrRepetition() throws Exception {
        fleet.engines.forEach(engine -> engine.faults().turn(faults -> faults.withCutStreamsAfterTokens(15)));
        try {
            HttpResponse<String> answer = fleet.sendModelRequest(fleet.routers.get(0), "broken", 25, true);
            assertEquals(ExpectedAnswer.of("broken").text(25), TestFleet.joinTokens(answer.body()));
            assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
        } finally {
            fleet.engines.forEach(engine -> engine.faults().clear());
        }
    }

    /** Failure guarded against: operators cannot see or change the fleet through a router. */
    @Test
    void operatorsReadAndChangeTheFleet() throws Exception {
        RouterDaemon router = fleet.routers.get(0);
        String addresses =
                fleet.send(fleet.request(router, "/v1/addresses", "none")).body();
        assertTrue(addresses.contains(fleet.routers.get(1).callerAddress()), addresses);
        assertEquals(200, fleet.send(fleet.request(router, "/healthz", "none")).statusCode());
        String metrics = fleet.send(fleet.request(router, "/metrics", TestFleet.OPERATOR_KEY))
                .body();
        assertTrue(metrics.contains("# TYPE requests_in_progress gauge"), metrics);
        assertEquals(
                200,
                fleet.send(fleet.request(router, "/v1/operator/configuration/history", TestFleet.OPERATOR_KEY))
                        .statusCode());
        String timeline = fleet.send(fleet.request(router, "/v1/operator/timeline", TestFleet.OPERATOR_KEY))
                .body();
        assertTrue(timeline.contains("router_ready"), timeline);
        assertFalse(timeline.contains("invariant_violated"), timeline);
        HttpResponse<String> conflict =
                fleet.send(fleet.request(router, "/v1/operator/configuration", TestFleet.OPERATOR_KEY)
                        .header("If-Match", "\"99\"")
                        .PUT(HttpRequest.BodyPublishers.ofString("{}")));
        assertEquals("configuration_conflict", TestFleet.errorCode(conflict));
    }

    /** Failure guarded against: a server that leaves still receives new work. */
    @Test
    void serverThatLeavesReceivesNoNewWorkUntilItReturns() throws Exception {
        RouterDaemon router = fleet.routers.get(0);
        ServerName server = new ServerName("engine-1");
        sendCommand(router, "servers/engine-1/leave");
        TestFleet.await(
                "no router admits work on the server",
                () -> fleet.routers.stream()
                        .noneMatch(each -> each.blackboard()
                                .read(ConfigurationTopic.IN_FORCE)
                                .admitsWork(server)));
        long before = fleet.engines.get(0).counters().value("requests");
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    200,
                    fleet.sendModelRequest(fleet.routers.get(i % 2), "leave" + i, 3, false).statusCode());
        }
        assertEquals(before, fleet.engines.get(0).counters().value("requests"));
        sendCommand(router, "servers/engine-1/return");
        TestFleet.await(
                "the server is back",
                () -> fleet.routers.stream()
                        .allMatch(each -> each.blackboard()
                                .read(ConfigurationTopic.IN_FORCE)
                                .admitsWork(server)));
    }

    /** Books; a caller that repeats a booking before its end is recorded is told to come again. */
    private static HttpResponse<String> book(RouterDaemon router) throws Exception {
        HttpResponse<String> answer;
        int tries = 0;
        do {
            Thread.sleep(tries * 20L);
            answer = fleet.send(fleet.request(router, "/bookings/post-7", TestFleet.WORKSPACE_KEY)
                    .header("Idempotency-Key", "booking-1")
                    .POST(HttpRequest.BodyPublishers.ofString("{\"slot\":1}")));
        } while (answer.body().contains("\"in_progress\"") && ++tries < 20);
        return answer;
    }

    private static void sendCommand(RouterDaemon router, String path) throws Exception {
        HttpResponse<String> answer = fleet.send(fleet.request(router, "/v1/operator/" + path, TestFleet.OPERATOR_KEY)
                .POST(HttpRequest.BodyPublishers.noBody()));
        assertEquals(200, answer.statusCode(), answer.body());
    }
}
