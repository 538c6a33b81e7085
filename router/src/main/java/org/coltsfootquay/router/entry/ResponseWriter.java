package org.coltsfootquay.router.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.request.ErrorResponse;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.router.http.ErrorBody;
import org.coltsfootquay.router.http.HttpExchange;

/** Writes the response of a flow to the caller. */
final class ResponseWriter {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpExchange exchange;
    private final String requestId;
    private final String model;
    private boolean tokenStream;

    ResponseWriter(HttpExchange exchange, String requestId, String model) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.model = model;
    }

    void start(RequestAction.StartResponse start) {
        tokenStream = start.tokens();
        exchange.start(start.status(), headers(start.headers(), tokenStream ? "text/event-stream" : null));
    }

    void writePart(RequestAction.SendPart part) {
        exchange.write(tokenStream ? tokenEvent(part) : part.data());
    }

    void finish(RequestAction.FinishResponse finish) {
        if (tokenStream) {
            String last = finish.trailer().isEmpty() ? "" : "data: " + finish.trailer() + "\n\n";
            exchange.write((last + "data: [DONE]\n\n").getBytes(StandardCharsets.UTF_8));
        }
        exchange.end();
    }

    void sendResponse(RequestAction.SendResponse response) {
        byte[] body = join(response.parts());
        if (response.tokens()) {
            body = completion(new String(body, StandardCharsets.UTF_8), response.trailer());
        }
        exchange.respond(
                response.status(), headers(response.headers(), response.tokens() ? "application/json" : null), body);
    }

    /** Ends a token stream with an error event and no end marker, and any other response by closing the connection. */
    void endWithError(ErrorResponse error) {
        if (tokenStream) {
            String event =
                    "event: error\ndata: " + ErrorBody.of(error, requestId).json() + "\n\n";
            exchange.write(event.getBytes(StandardCharsets.UTF_8));
            exchange.end();
        } else {
            exchange.abort();
        }
    }

    void refuse(ErrorResponse error) {
        ErrorBody.of(error, requestId).send(exchange);
    }

    private Map<String, String> headers(Map<String, String> fromServer, String contentType) {
        Map<String, String> headers = new LinkedHashMap<>(fromServer);
        if (contentType != null) {
            headers.put("content-type", contentType);
        }
        headers.put("x-request-id", requestId);
        return headers;
    }

    private byte[] tokenEvent(RequestAction.SendPart part) {
        ObjectNode event = JsonNodeFactory.instance.objectNode();
        event.put("id", requestId).put("object", "chat.completion.chunk").put("model", model);
        ObjectNode choice = event.putArray("choices").addObject();
        choice.putObject("delta").put("content", new String(part.data(), StandardCharsets.UTF_8));
        choice.put("index", 0).putNull("finish_reason");
        event.put("position", part.position());
        return ("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private byte[] completion(String text, String trailer) {
        ObjectNode completion = JsonNodeFactory.instance.objectNode();
        completion.put("id", requestId).put("object", "chat.completion").put("model", model);
        ObjectNode choice = completion.putArray("choices").addObject();
        choice.putObject("message").put("role", "assistant").put("content", text);
        JsonNode last = parse(trailer);
        choice.put("index", 0)
                .put(
                        "finish_reason",
                        last.path("choices").path(0).path("finish_reason").asText("stop"));
        if (last.has("usage")) {
            completion.set("usage", last.get("usage"));
        }
        return completion.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonNode parse(String text) {
        try {
            return text.isEmpty() ? JsonNodeFactory.instance.objectNode() : JSON.readTree(text);
        } catch (JsonProcessingException e) {
            return JsonNodeFactory.instance.objectNode();
        }
    }

    private static byte[] join(List<byte[]> parts) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream(256);
        parts.forEach(joined::writeBytes);
        return joined.toByteArray();
    }
}
