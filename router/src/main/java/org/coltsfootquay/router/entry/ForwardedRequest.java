package org.coltsfootquay.router.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.router.backend.BackendRequest;

/**
 * Request that is forwarded to a backend server on behalf of a caller.
 *
 * @param kind kind of the service
 * @param method HTTP method
 * @param target path and query
 * @param headers headers to forward
 * @param body body; for a model request a JSON object that requests a stream
 */
@SuppressWarnings("ArrayRecordComponent") // instances are never compared
public record ForwardedRequest(
        ServiceKind kind, String method, String target, Map<String, String> headers, byte[] body) {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Longer than the 60 s after which the flow itself abandons a silent server. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(90);

    /**
     * Returns the identifier by which backend servers know an attempt.
     *
     * @param attempt attempt
     * @return identifier without a slash, since it is used as a path segment
     */
    public static String serverRequestId(RequestAttempt attempt) {
        return attempt.request() + "-" + attempt.attempt();
    }

    /**
     * Builds the request of an attempt.
     *
     * @param attempt attempt
     * @param address address of the server
     * @param fencingNumber fencing number
     * @param continueFrom tokens that the caller has already received; empty for a new request
     * @return request to the server
     */
    public BackendRequest toBackendRequest(
            RequestAttempt attempt, String address, long fencingNumber, List<String> continueFrom) {
        Map<String, String> allHeaders = new LinkedHashMap<>(headers);
        allHeaders.put("x-request-id", serverRequestId(attempt));
        allHeaders.put("x-fencing-number", Long.toString(fencingNumber));
        return new BackendRequest(
                address,
                method,
                target,
                allHeaders,
                continueFrom.isEmpty() ? body : bodyWithContinuation(continueFrom),
                CONNECT_TIMEOUT,
                SILENCE_TIMEOUT);
    }

    /**
     * Builds the request that resumes the stream of an attempt on its engine.
     *
     * @param attempt attempt
     * @param address address of the engine
     * @param fencingNumber fencing number
     * @param fromPosition position of the first missing token
     * @return request to the engine
     */
    public static BackendRequest resumeRequest(
            RequestAttempt attempt, String address, long fencingNumber, long fromPosition) {
        String id = serverRequestId(attempt);
        Map<String, String> headers = Map.of("x-request-id", id, "x-fencing-number", Long.toString(fencingNumber));
        return new BackendRequest(
                address,
                "GET",
                "/v1/requests/" + id + "/stream?from=" + fromPosition,
                headers,
                new byte[0],
                CONNECT_TIMEOUT,
                SILENCE_TIMEOUT);
    }

    /** Inserts the tokens before the closing brace of the body, a JSON object that this router has serialized. */
    private byte[] bodyWithContinuation(List<String> tokens) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode(tokens.size());
        tokens.forEach(array::add);
        byte[] insert = (",\"continue_from\":" + array + "}").getBytes(StandardCharsets.UTF_8);
        byte[] result = new byte[body.length - 1 + insert.length];
        System.arraycopy(body, 0, result, 0, body.length - 1);
        System.arraycopy(insert, 0, result, body.length - 1, insert.length);
        return result;
    }
}
