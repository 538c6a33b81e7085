package org.coltsfootquay.router.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.coltsfootquay.decision.dispatch.LoadReport;

/** Thread-safe client for control requests to backend servers: load, cancellation and stream resumption. */
public final class ServerControlClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final BackendClient client;

    /**
     * Creates a control client.
     *
     * @param client client that sends the requests
     */
    public ServerControlClient(BackendClient client) {
        this.client = client;
    }

    /**
     * Requests the load report of a server.
     *
     * @param address {@code host:port}
     * @param callback receives the load, or empty if the server sent no valid response; called on an event loop
     */
    public void readLoad(String address, Consumer<Optional<LoadReport>> callback) {
        send(
                request(address, "GET", "/v1/load", Map.of()),
                (status, body) -> callback.accept(status == 200 ? parseLoad(body) : Optional.empty()));
    }

    /**
     * Cancels a request on a model engine without waiting for the result.
     *
     * @param address {@code host:port}
     * @param requestId identifier with which the request was sent
     */
    public void cancel(String address, String requestId) {
        send(request(address, "DELETE", "/v1/requests/" + requestId, Map.of()), (status, body) -> {});
    }

    /**
     * Creates the request that resumes a stream retained by the engine.
     *
     * @param address {@code host:port}
     * @param requestId identifier with which the request was sent
     * @param position position of the first token to send
     * @param readTimeout maximum time without a received byte of the response
     * @return request for the stream from the position
     */
    public static BackendRequest resumeRequest(String address, String requestId, long position, Duration readTimeout) {
        return new BackendRequest(
                address,
                "GET",
                "/v1/requests/" + requestId + "/stream?from=" + position,
                Map.of("x-request-id", requestId),
                new byte[0],
                TIMEOUT,
                readTimeout);
    }

    private static BackendRequest request(String address, String method, String path, Map<String, String> headers) {
        return new BackendRequest(address, method, path, headers, new byte[0], TIMEOUT, TIMEOUT);
    }

    private void send(BackendRequest request, ResponseCallback callback) {
        ResponseCollector collector = new ResponseCollector(callback);
        client.send(request, collector);
    }

    private static Optional<LoadReport> parseLoad(byte[] body) {
        try {
            JsonNode root = JSON.readTree(body);
            if (!root.path("running").canConvertToInt()) {
                return Optional.empty();
            }
            JsonNode bearable = root.path("bearable");
            return Optional.of(new LoadReport(
                    root.path("running").asInt(),
                    root.path("waiting").asInt(),
                    root.path("cold").asBoolean(),
                    bearable.isInt() ? OptionalInt.of(bearable.asInt()) : OptionalInt.empty(),
                    root.path("uptimeMillis").asLong(),
                    root.path("ageMillis").asLong()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Receives the response to a control request. */
    @FunctionalInterface
    private interface ResponseCallback {

        /** Handles the status, which is 0 after a failure, and the body. */
        void accept(int status, byte[] body);
    }

    private static final class ResponseCollector implements BackendHandler {

        private final ResponseCallback callback;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;

        private ResponseCollector(ResponseCallback callback) {
            this.callback = callback;
        }

        @Override
        public void headersReceived(int newStatus, Map<String, String> headers) {
            status = newStatus;
        }

        @Override
        public void bodyPartReceived(byte[] bytes) {
            int remaining = MAX_RESPONSE_BYTES - body.size();
            body.write(bytes, 0, Math.min(remaining, bytes.length));
        }

        @Override
        public void completed() {
            callback.accept(status, body.toByteArray());
        }

        @Override
        public void failed(BackendFailure failure) {
            callback.accept(0, new byte[0]);
        }
    }
}
