package org.coltsfootquay.router.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Routes requests to the parts of a router; everything that is not an own path of the router is a caller's request.
 *
 * <p>{@code /v1/addresses} and {@code /healthz} need no key: they say only where routers are and whether this one is
 * ready.
 */
public final class ApiRoutes implements HttpRequestHandler {

    private static final String OPERATOR_PREFIX = "/v1/operator/";
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

    private final BearerKeys<String> operatorKeys;
    private final OperatorApi operator;
    private final Sources sources;
    private final HttpRequestHandler callerHandler;

    /**
     * Creates the routes.
     *
     * @param operatorKeys keys of operators
     * @param operator commands of operators
     * @param sources texts that are served
     * @param callers handler of callers' requests
     */
    public ApiRoutes(
            BearerKeys<String> operatorKeys, OperatorApi operator, Sources sources, HttpRequestHandler callers) {
        this.operatorKeys = operatorKeys;
        this.operator = operator;
        this.sources = sources;
        this.callerHandler = callers;
    }

    @Override
    public void handle(HttpExchange exchange) {
        String path = exchange.path();
        switch (path) {
            case "/healthz" -> requireGet(exchange, () -> sendHealth(exchange));
            case "/v1/addresses" ->
                requireGet(
                        exchange,
                        () -> sendText(exchange, 200, JSON_HEADERS, sources.addresses().get()));
            case "/metrics" ->
                requireGet(
                        exchange,
                        () -> requireOperatorKey(
                                exchange,
                                () -> sendText(
                                        exchange,
                                        200,
                                        Map.of("content-type", "text/plain; version=0.0.4; charset=utf-8"),
                                        sources.metricsText().get())));
            case "/metrics.json" ->
                requireGet(
                        exchange,
                        () -> requireOperatorKey(
                                exchange,
                                () -> sendText(
                                        exchange,
                                        200,
                                        JSON_HEADERS,
                                        sources.metricsJson().get())));
            default -> {
                if (path.startsWith(OPERATOR_PREFIX)) {
                    requireOperatorKey(exchange, () -> operator(exchange, path.substring(OPERATOR_PREFIX.length())));
                } else {
                    callerHandler.handle(exchange);
                }
            }
        }
    }

    private void operator(HttpExchange exchange, String command) {
        OperatorReply reply = new Reply(exchange);
        String[] parts = command.split("/", -1);
        String call = exchange.method() + " " + (parts.length == 1 ? command : parts[0]);
        if (call.equals("GET configuration") && command.equals("configuration/history")) {
            operator.readHistory(reply);
        } else if (parts.length == 1) {
            switch (call) {
                case "GET configuration" -> operator.readConfiguration(reply);
                case "PUT configuration" -> handleReplaceConfiguration(exchange, reply);
                case "GET timeline" -> sendTimeline(exchange);
                default -> sendNotFound(exchange);
            }
        } else if (parts.length == 3 && exchange.method().equals("POST") && isLeaveOrReturn(parts[2])) {
            boolean leave = parts[2].equals("leave");
            switch (parts[0]) {
                case "zones" -> operator.changeZone(parts[1], leave, reply);
                case "servers" -> operator.changeServer(parts[1], leave, reply);
                default -> sendNotFound(exchange);
            }
        } else {
            sendNotFound(exchange);
        }
    }

    private void handleReplaceConfiguration(HttpExchange exchange, OperatorReply reply) {
        Optional<String> match =
                exchange.header("if-match").map(value -> value.replace("\"", "").strip());
        OptionalLong version = OptionalLong.empty();
        if (match.isPresent()) {
            try {
                version = OptionalLong.of(Long.parseLong(match.get()));
            } catch (NumberFormatException e) {
                reply.sendError(ErrorBody.of(
                        400, "bad_request", "If-Match is not a version", "send If-Match: \"<version in force>\""));
                return;
            }
        }
        operator.replaceConfiguration(version, exchange.body(), reply);
    }

    private void sendTimeline(HttpExchange exchange) {
        long from = parseLong(exchange.parameter("from"), 0);
        int limit = (int) Math.max(1, Math.min(10_000, parseLong(exchange.parameter("limit"), 1_000)));
        sendText(
                exchange,
                200,
                Map.of("content-type", "application/x-ndjson"),
                sources.timeline().read(from, limit));
    }

    private void sendHealth(HttpExchange exchange) {
        Optional<String> obstacle = sources.notReadyReason().get();
        String body = obstacle.isEmpty() ? "{\"status\":\"ready\"}" : "{\"status\":\"" + obstacle.get() + "\"}";
        sendText(exchange, obstacle.isEmpty() ? 200 : 503, JSON_HEADERS, body);
    }

    private void requireOperatorKey(HttpExchange exchange, Runnable action) {
        if (operatorKeys.findHolder(exchange.header("authorization")).isPresent()) {
            action.run();
        } else {
            ErrorBody.of(401, "unauthorized", "this path needs an operator key", "send Authorization: Bearer <key>")
                    .send(exchange);
        }
    }

    private static void requireGet(HttpExchange exchange, Runnable action) {
        if (exchange.method().equals("GET")) {
            action.run();
        } else {
            ErrorBody.of(405, "bad_request", "the path only supports GET", "send a GET request")
                    .send(exchange);
        }
    }

    private static boolean isLeaveOrReturn(String verb) {
        return verb.equals("leave") || verb.equals("return");
    }

    private static long parseLong(Optional<String> text, long fallback) {
        try {
            return text.map(Long::parseLong).orElse(fallback);
        } catch (NumberFormatException e) {
            return fallback;
        }
    }

    private static void sendNotFound(HttpExchange exchange) {
        ErrorBody.of(404, "unknown_path", "there is no such operator path", "see the operators' page for the paths")
                .send(exchange);
    }

    private static void sendText(HttpExchange exchange, int status, Map<String, String> headers, String body) {
        exchange.respond(status, headers, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Reader of the time line. */
    @FunctionalInterface
    public interface TimelineSource {

        /**
         * Reads events.
         *
         * @param from smallest sequence number
         * @param limit largest number of events
         * @return JSON lines
         */
        String read(long from, int limit);
    }

    /**
     * Texts that a router serves.
     *
     * @param notReadyReason why the router is not ready, a single word; empty if it is
     * @param addresses ranked addresses as JSON
     * @param metricsText metrics in the Prometheus text format
     * @param metricsJson metrics as JSON
     * @param timeline time line
     */
    public record Sources(
            Supplier<Optional<String>> notReadyReason,
            Supplier<String> addresses,
            Supplier<String> metricsText,
            Supplier<String> metricsJson,
            TimelineSource timeline) {}

    private record Reply(HttpExchange exchange) implements OperatorReply {

        @Override
        public void sendJson(int status, String json) {
            sendText(exchange, status, JSON_HEADERS, json);
        }

        @Override
        public void sendError(ErrorBody error) {
            error.send(exchange);
        }
    }
}
