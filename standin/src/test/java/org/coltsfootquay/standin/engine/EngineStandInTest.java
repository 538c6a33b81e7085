package org.coltsfootquay.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.coltsfootquay.standin.fault.Outage;
import org.coltsfootquay.standin.http.JsonUtils;
import org.coltsfootquay.standin.http.StandInClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an engine stand-in that hides the faults of real engines or answers what it should not. */
final class EngineStandInTest {

    private final List<EngineStandIn> engines = new ArrayList<>();

    @AfterEach
    void close() {
        engines.forEach(EngineStandIn::close);
    }

    @Test
    void streamCarriesTheExpectedTokensInOrder() throws Exception {
        StandInClient client = client(EngineSettings.fast());

        Tokens tokens = stream(client, "r1", body("terminal X4?", 7, true));

        assertEquals(ExpectedAnswer.of("terminal X4?").text(7), tokens.text());
        assertEquals(List.of(0, 1, 2, 3, 4, 5, 6), tokens.positions());
        assertTrue(tokens.done());
    }

    @Test
    void wholeAnswerCarriesTextAndUsage() throws Exception {
        StandInClient client = client(EngineSettings.fast());

        JsonNode answer = StandInClient.parse(client.send("POST", "/v1/chat/completions", body("bylaw 12", 5, false))
                .body());

        assertEquals(
                ExpectedAnswer.of("bylaw 12").text(5),
                answer.at("/choices/0/message/content").asText());
        assertEquals(5, answer.at("/usage/completion_tokens").asInt());
    }

    @Test
    void continuationOnAnotherEngineCompletesTheAnswer() throws Exception {
        ExpectedAnswer expected = ExpectedAnswer.of("long survey");
        ObjectNode request = request("long survey", 6, true);
        request.putArray("continue_from").add(expected.token(0)).add(expected.token(1));
        EngineStandIn engine = engine(EngineSettings.fast());

        Tokens tokens = stream(new StandInClient(engine.address()), "r1#2", request.toString());

        assertEquals(List.of(2, 3, 4, 5), tokens.positions());
        assertEquals(expected.text(6), expected.token(0) + expected.token(1) + tokens.text());
        assertEquals(0, engine.counters().value("continuationMismatches"));
    }

    @Test
    void cutStreamResumesWhereItBroke() throws Exception {
        EngineStandIn engine = engine(EngineSettings.fast());
        StandInClient client = new StandInClient(engine.address());
        engine.faults().turn(faults -> faults.withCutStreamsAfterTokens(3));
        Tokens first = stream(client, "r1", body("cut", 8, true));
        engine.faults().clear();

        Tokens rest = read(client.lines("GET", "/v1/requests/r1/stream?from=3", ""));

        assertFalse(first.done());
        assertEquals(List.of(0, 1, 2), first.positions());
        assertEquals(List.of(3, 4, 5, 6, 7), rest.positions());
        assertTrue(rest.done());
        assertEquals(
                404, client.send("GET", "/v1/requests/other/stream?from=0", "").statusCode());
    }

    @Test
    void restartLosesStreams() throws Exception {
        EngineStandIn engine = engine(EngineSettings.fast());
        StandInClient client = new StandInClient(engine.address());
        engine.faults().turn(faults -> faults.withCutStreamsAfterTokens(1));
        stream(client, "r1", body("x", 50, true));

        engine.restart();

        assertEquals(
                404, client.send("GET", "/v1/requests/r1/stream?from=1", "").statusCode());
    }

    @Test
    void coldEngineRefusesAndCountsWhatItWasOffered() throws Exception {
        EngineStandIn engine = engine(EngineSettings.fast().withCold(60_000, 1));
        StandInClient client = new StandInClient(engine.address());
        CompletableFuture<HttpResponse<String>> first =
                client.sendAsync("POST", "/v1/chat/completions", body("one", 200, true), "X-Request-Id", "r1");
        client.await("/v1/stats", stats -> stats.path("running").asInt() == 1);

        HttpResponse<String> second = client.send("POST", "/v1/chat/completions", body("two", 2, true));

        assertEquals(503, second.statusCode());
        assertEquals("cold", StandInClient.parse(second.body()).path("code").asText());
        assertEquals(2, client.get("/v1/stats").path("coldPeakInFlight").asInt());
        assertEquals(1, engine.counters().value("coldExceeded"));
        assertTrue(client.get("/v1/load").path("cold").asBoolean());
        assertEquals(204, client.send("DELETE", "/v1/requests/r1", "").statusCode());
        assertFalse(first.get().body().contains("[DONE]"));
    }

    @Test
    void coldEngineThatFailsTakesItsOtherRequestsDown() throws Exception {
        EngineStandIn engine = engine(EngineSettings.fast().withCold(60_000, 1).withColdFails(true));
        StandInClient client = new StandInClient(engine.address());
        CompletableFuture<HttpResponse<String>> first =
                client.sendAsync("POST", "/v1/chat/completions", body("one", 500, false));
        client.await("/v1/stats", stats -> stats.path("running").asInt() == 1);

        assertEquals(
                500,
                client.send("POST", "/v1/chat/completions", body("two", 2, false))
                        .statusCode());
        assertEquals(500, first.get().statusCode());
        assertEquals(0, client.get("/v1/stats").path("running").asInt());
    }

    @Test
    void streamStallsDuringASilentOutageAndGoesOnAfterwards() throws Exception {
        EngineStandIn engine = engine(EngineSettings.fast());
        StandInClient client = new StandInClient(engine.address());
        CompletableFuture<HttpResponse<String>> answer =
                client.sendAsync("POST", "/v1/chat/completions", body("stall", 200, true));
        client.await("/v1/stats", stats -> stats.path("outputTokens").asInt() > 5);

        engine.faults().turn(faults -> faults.withOutage(Outage.SILENT));
        long stalledAt = client.get("/v1/stats").path("outputTokens").asLong();
        assertTrue(stalledAt < 200, "the answer was complete before the outage");
        assertEquals(stalledAt, client.get("/v1/stats").path("outputTokens").asLong());
        engine.faults().clear();

        assertTrue(answer.get().body().contains("[DONE]"));
    }

    @Test
    void overloadedEngineFails() throws Exception {
        EngineStandIn engine = engine(EngineSettings.fast());
        StandInClient client = new StandInClient(engine.address());
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < EngineSettings.fast().collapseAt(); i++) {
            answers.add(client.sendAsync("POST", "/v1/chat/completions", body("q" + i, 40, false)));
        }

        long failures = 0;
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            failures += answer.get().statusCode() == 500 ? 1 : 0;
        }

        assertTrue(engine.counters().value("collapses") > 0);
        assertTrue(failures > answers.size() / 4, "failures: " + failures);
    }

    @Test
    void cachedPrefixIsReportedLateAndUsed() throws Exception {
        EngineStandIn engine = engine(EngineSettings.fast());
        StandInClient client = new StandInClient(engine.address());
        String prompt = "clause ".repeat(600);

        client.send("POST", "/v1/chat/completions", body(prompt, 1, false));
        client.send("POST", "/v1/chat/completions", body(prompt, 1, false));

        assertTrue(engine.counters().value("cachedTokens") >= 1_024);
        String expected =
                String.format("%016x", PrefixHashUtils.hashes(PromptUtils.bytes(request(prompt, 1, false)))[0]);
        JsonNode events = client.await(
                "/v1/cache/events?since=0", answer -> !answer.path("events").isEmpty());
        assertEquals(expected, events.at("/events/0/prefixHash").asText());
    }

    @Test
    void oldFencingNumberIsRefusedUnlessIgnored() throws Exception {
        EngineStandIn engine = engine(EngineSettings.fast().withChecksFencing(true));
        StandInClient client = new StandInClient(engine.address());
        assertEquals(200, fenced(client, "8"));
        assertEquals(409, fenced(client, "7"));
        assertEquals(
                409,
                client.send("POST", "/v1/orders", "{\"type\":\"set_role\",\"name\":\"x\",\"fencingNumber\":7}")
                        .statusCode());

        engine.faults().turn(faults -> faults.withIgnoreFencing(true));

        assertEquals(200, fenced(client, "7"));
        assertTrue(engine.orders().isEmpty());
    }

    @Test
    void importedCacheIsUsed() throws Exception {
        EngineStandIn source = engine(EngineSettings.fast());
        EngineStandIn target = engine(EngineSettings.fast());
        StandInClient from = new StandInClient(source.address());
        StandInClient to = new StandInClient(target.address());
        String prompt = "wire ".repeat(1_000);
        stream(from, "r1", body(prompt, 1, true));

        String exported = from.send("GET", "/v1/kv/r1", "").body();
        assertEquals(204, to.send("PUT", "/v1/kv/r1", exported).statusCode());
        stream(to, "r2", body(prompt, 1, true));

        assertEquals(1_024, target.counters().value("cachedTokens"));
    }

    @Test
    void loadReportLags() throws Exception {
        EngineStandIn engine = engine(EngineSettings.fast());
        StandInClient client = new StandInClient(engine.address());
        engine.faults().turn(faults -> faults.withLagMillis(60_000));
        var unused = client.sendAsync("POST", "/v1/chat/completions", body("one", 5_000, true), "X-Request-Id", "r1");
        client.await("/v1/stats", stats -> stats.path("running").asInt() == 1);

        assertEquals(0, client.get("/v1/load").path("running").asInt());
        engine.faults().clear();
        client.await("/v1/load", load -> load.path("running").asInt() == 1);
    }

    @Test
    void abandonedStreamFreesItsSlot() throws Exception {
        EngineStandIn engine = engine(EngineSettings.fast());
        StandInClient client = new StandInClient(engine.address());
        engine.faults().turn(faults -> faults.withCutStreamsAfterTokens(1));

        stream(client, "r1", body("left", 5_000, true));

        client.await("/v1/stats", stats -> stats.path("abandoned").asInt() == 1);
        assertEquals(0, client.get("/v1/stats").path("running").asInt());
    }

    private static int fenced(StandInClient client, String number) throws Exception {
        return client.send("POST", "/v1/chat/completions", body("f", 1, false), "X-Fencing-Number", number)
                .statusCode();
    }

    private EngineStandIn engine(EngineSettings settings) {
        EngineStandIn engine = new EngineStandIn(settings).start();
        engines.add(engine);
        return engine;
    }

    private StandInClient client(EngineSettings settings) {
        return new StandInClient(engine(settings).address());
    }

    private static ObjectNode request(String content, int tokens, boolean stream) {
        ObjectNode request =
                JsonUtils.object().put("model", "m").put("max_tokens", tokens).put("stream", stream);
        request.putArray("messages").addObject().put("role", "user").put("content", content);
        return request;
    }

    private static String body(String content, int tokens, boolean stream) {
        return request(content, tokens, stream).toString();
    }

    private static Tokens stream(StandInClient client, String id, String body) throws Exception {
        return read(client.lines("POST", "/v1/chat/completions", body, "X-Request-Id", id));
    }

    private static Tokens read(HttpResponse<Stream<String>> response) throws Exception {
        assertEquals(200, response.statusCode());
        StringBuilder text = new StringBuilder();
        List<Integer> positions = new ArrayList<>();
        boolean done = false;
        try {
            for (Iterator<String> lines = response.body().iterator(); lines.hasNext(); ) {
                String line = lines.next();
                if (line.equals("data: [DONE]")) {
                    done = true;
                } else if (line.startsWith("data: ")) {
                    JsonNode event = StandInClient.parse(line.substring("data: ".length()));
                    if (event.has("position")) {
                        text.append(event.at("/choices/0/delta/content").asText());
                        positions.add(event.path("position").asInt());
                    }
                }
            }
        } catch (UncheckedIOException e) {
            done = false;
        }
        return new Tokens(text.toString(), positions, done);
    }

    private record Tokens(String text, List<Integer> positions, boolean done) {}
}
