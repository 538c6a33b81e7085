package org.coltsfootquay.router.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootquay.decision.request.ErrorResponse;
import org.coltsfootquay.decision.request.ErrorResponse.Execution;

/**
 * Error as callers and operators receive it.
 *
 * @param status HTTP status
 * @param code code, lower case with underscores
 * @param message what happened
 * @param remedy what to do
 * @param execution whether the request ran
 * @param retryAfter time after which a retry has a chance; zero if it may come at once or is pointless
 * @param requestId identifier of the request, empty if it has none
 */
public record ErrorBody(
        int status,
        String code,
        String message,
        String remedy,
        Execution execution,
        Duration retryAfter,
        String requestId) {

    /**
     * Creates the error of a request that was turned away before it was admitted.
     *
     * @param status HTTP status
     * @param code code
     * @param message what happened
     * @param remedy what to do
     * @return the error; the request did not run
     */
    public static ErrorBody of(int status, String code, String message, String remedy) {
        return new ErrorBody(status, code, message, remedy, Execution.NOT_RUN, Duration.ZERO, "");
    }

    /**
     * Creates the error of an admitted request.
     *
     * @param reply reply of the request flow
     * @param requestId identifier of the request
     * @return the error
     */
    public static ErrorBody of(ErrorResponse reply, String requestId) {
        return new ErrorBody(
                reply.code().status(),
                reply.code().label(),
                reply.message(),
                reply.code().remedy(),
                reply.execution(),
                reply.retryAfter(),
                requestId);
    }

    /**
     * Returns the body.
     *
     * @return JSON text
     */
    public String json() {
        ObjectNode error = JsonNodeFactory.instance.objectNode();
        error.put("code", code)
                .put("message", message)
                .put("remedy", remedy)
                .put("execution", execution.label())
                .put("retryAfterMillis", retryAfter.toMillis())
                .put("requestId", requestId);
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.set("error", error);
        return root.toString();
    }

    /**
     * Answers an exchange with this error.
     *
     * @param exchange exchange whose answer has not begun
     */
    public void send(HttpExchange exchange) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", "application/json");
        if (!retryAfter.isZero()) {
            headers.put("retry-after", Long.toString((retryAfter.toMillis() + 999) / 1000));
        }
        if (status == 401) {
            headers.put("www-authenticate", "Bearer");
        }
        if (!requestId.isEmpty()) {
            headers.put("x-request-id", requestId);
        }
        exchange.respond(status, headers, json().getBytes(StandardCharsets.UTF_8));
    }
}
