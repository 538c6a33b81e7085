package org.coltsfootquay.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coltsfootquay.standin.engine.ExpectedAnswer;
import org.coltsfootquay.standin.engine.PromptUtils;

/** Makes single calls to a router and checks that the answer is whole and the caller's own. */
final class Caller {

    /** Weight of an output token in service units; the same as in the fleet's accounting. */
    static final int UNITS_PER_OUTPUT_TOKEN = 2;

    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Duration TIMEOUT = Duration.ofSeconds(90);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final HttpClient http;
    private final ServiceRecorder recorder;
    private final long runStartNanos;

    Caller(HttpClient http, ServiceRecorder recorder, long runStartNanos) {
        this.http = http;
        this.recorder = recorder;
        this.runStartNanos = runStartNanos;
    }

    /** One call to make; {@code content} is the prompt, or the body of an application call. */
    record Call(WorkspaceLoad load, CallProfile profile, String content, int tokens, Optional<String> idempotencyKey) {}

    CompletableFuture<CallResult> send(String address, Call call) {
        return call.profile().type() == CallProfile.Type.STREAM ? stream(address, call) : apply(address, call);
    }

    private CompletableFuture<CallResult> stream(String address, Call call) {
        long startNanos = System.nanoTime();
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", call.profile().target())
                .put("max_tokens", call.tokens())
                .put("stream", true);
        body.putArray("messages").addObject().put("role", "user").put("content", call.content());
        String workspace = call.load().workspace();
        long inputUnits = PromptUtils.tokens(PromptUtils.bytes(body).length);
        StreamCollector collector = new StreamCollector(
                position -> recorder.served(workspace, UNITS_PER_OUTPUT_TOKEN + (position == 0 ? inputUnits : 0)));
        recorder.waiting(workspace, 1);
        HttpRequest.Builder request = request(address, "/v1/chat/completions", call)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body.toString()));
        if (!call.profile().classOfWork().isEmpty()) {
            request.header("X-Class-Of-Work", call.profile().classOfWork());
        }
        return http.sendAsync(
                        request.build(),
                        info -> info.statusCode() == 200
                                ? HttpResponse.BodySubscribers.fromLineSubscriber(
                                        collector, Caller::asComplete, StandardCharsets.UTF_8, null)
                                : HttpResponse.BodySubscribers.ofString(StandardCharsets.UTF_8))
                .handle((response, failure) -> {
                    recorder.waiting(workspace, -1);
                    return streamResult(call, collector, startNanos, inputUnits, response, failure);
                });
    }

    private static String asComplete(StreamCollector collector) {
        return "";
    }

    private CallResult streamResult(
            Call call,
            StreamCollector collector,
            long startNanos,
            long inputUnits,
            HttpResponse<String> response,
            Throwable failure) {
        if (response != null && response.statusCode() != 200) {
            return refused(call, startNanos, response);
        }
        CallOutcome outcome;
        String detail = "";
        boolean whole =
                collector.text().equals(ExpectedAnswer.of(call.content()).text(call.tokens()));
        if (collector.isDone()) {
            outcome = whole ? CallOutcome.COMPLETED : CallOutcome.WRONG_ANSWER;
            detail = whole ? "" : collector.tokens() + " of " + call.tokens() + " tokens, or foreign text";
        } else if (failure == null && !collector.error().isEmpty()) {
            outcome = CallOutcome.FAILED;
            detail = collector.error();
        } else {
            outcome = CallOutcome.CUT;
            detail = failure == null ? "stream ended without an end mark" : String.valueOf(failure.getMessage());
        }
        long units = collector.tokens() * (long) UNITS_PER_OUTPUT_TOKEN + (collector.tokens() > 0 ? inputUnits : 0);
        return result(
                call, outcome, detail, startNanos, collector.firstTokenNanos(), collector.longestGapMillis(), units);
    }

    private CompletableFuture<CallResult> apply(String address, Call call) {
        long startNanos = System.nanoTime();
        HttpRequest.Builder builder = request(address, call.profile().target(), call);
        if (call.profile().type() == CallProfile.Type.BOOKING) {
            builder.header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(call.content()));
        }
        return http.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> {
                    if (failure != null) {
                        return result(
                                call, CallOutcome.CUT, String.valueOf(failure.getMessage()), startNanos, -1, 0, 0);
                    }
                    if (response.statusCode() / 100 == 2) {
                        return result(call, CallOutcome.COMPLETED, "", startNanos, System.nanoTime(), 0, 0);
                    }
                    return refused(call, startNanos, response);
                });
    }

    private CallResult refused(Call call, long startNanos, HttpResponse<String> response) {
        try {
            JsonNode error = MAPPER.readTree(response.body()).path("error");
            boolean notRun = error.path("execution").asText().equals("not_run");
            boolean unknown = error.path("execution").asText().equals("unknown");
            CallOutcome outcome =
                    notRun ? CallOutcome.REFUSED_NOT_RUN : unknown ? CallOutcome.UNKNOWN : CallOutcome.FAILED;
            return result(call, outcome, error.path("code").asText("no code"), startNanos, -1, 0, 0);
        } catch (IOException e) {
            String detail = "status " + response.statusCode() + " without a JSON error";
            return result(call, CallOutcome.FAILED, detail, startNanos, -1, 0, 0);
        }
    }

    private HttpRequest.Builder request(String address, String path, Call call) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + call.load().key());
        call.idempotencyKey().ifPresent(key -> builder.header("Idempotency-Key", key));
        return builder;
    }

    private CallResult result(
            Call call,
            CallOutcome outcome,
            String detail,
            long startNanos,
            long firstNanos,
            long longestGapMillis,
            long units) {
        return new CallResult(
                call.load().workspace(),
                call.profile().classOfWork(),
                outcome,
                detail,
                (startNanos - runStartNanos) / NANOS_PER_MILLI,
                firstNanos < 0 ? -1 : (firstNanos - startNanos) / NANOS_PER_MILLI,
                (System.nanoTime() - startNanos) / NANOS_PER_MILLI,
                longestGapMillis,
                units);
    }
}
