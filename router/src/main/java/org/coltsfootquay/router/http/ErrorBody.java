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
 * Error response for callers and operators.
 *
 * @param status HTTP status
 * @param code error code in lower case with underscores
 * @param message what happened
 * @param remedy what to do
 * @param execution whether the request ran
 * @param retryAfter time after which a retry may succeed; zero if a retry may follow immediately or cannot succeed
 * @param requestId identifier of the request; empty if it has none
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
     * Creates the error response for a request that was rejected before admission, and therefore did not run.
     *
     * @param status HTTP status
     * @param code error code
     * @param message what happened
     * @param remedy what to do
     * @return error
     */
    public static ErrorBody of(int status, String code, String message, String remedy) {
        return new ErrorBody(status, code, message, remedy, Execution.NOT_RUN, Duration.ZERO, "");
    }

    /**
     * Creates the error response for an admitted request.
     *
     * @param response error response of the request flow
     * @param requestId identifier of the request
     * @return error
     */
    public static ErrorBody of(ErrorResponse response, String requestId) {
        return new ErrorBody(
                response.code().status(),
                response.code().label(),
                response.message(),
                response.code().remedy(),
                response.execution(),
                response.retryAfter(),
                requestId);
    }

    /**
     * Returns the response body.
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
     * Sends this error as the response.
     *
     * @param exchange exchange whose response has not started
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
