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

/** Short calls to backend servers: load, cancel and the requests that resume a stream; thread-safe. */
public final class ServerControlClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_ANSWER_BYTES = 64 * 1024;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final BackendClient client;

    /**
     * Creates the calls.
     *
     * @param client client
     */
    public ServerControlClient(BackendClient client) {
        this.client = client;
    }

    /**
     * Reads the load of a server.
     *
     * @param address {@code host:port}
     * @param callback receives the load, or empty when the server gave no usable answer; called on an event loop
     */
    public void readLoad(String address, Consumer<Optional<LoadReport>> callback) {
        collect(
                request(address, "GET", "/v1/load", Map.of()),
                (status, body) -> callback.accept(status == 200 ? parseLoad(body) : Optional.empty()));
    }

    /**
     * Cancels a request on a model engine; the outcome is not awaited.
     *
     * @param address {@code host:port}
     * @param requestId identifier that the request was sent with
     */
    public void cancel(String address, String requestId) {
        collect(request(address, "DELETE", "/v1/requests/" + requestId, Map.of()), (status, body) -> {});
    }

    /**
     * Builds the request that resumes a stream which the engine still holds.
     *
     * @param address {@code host:port}
     * @param requestId identifier that the request was sent with
     * @param position position of the first token that is wanted
     * @param silence longest time without a byte of the answer
     * @return the request
     */
    public static BackendRequest resumeRequest(String address, String requestId, long position, Duration silence) {
        return new BackendRequest(
                address,
                "GET",
                "/v1/requests/" + requestId + "/stream?from=" + position,
                Map.of("x-request-id", requestId),
                new byte[0],
                TIMEOUT,
                silence);
    }

    private static BackendRequest request(String address, String method, String path, Map<String, String> headers) {
        return new BackendRequest(address, method, path, headers, new byte[0], TIMEOUT, TIMEOUT);
    }

    private void collect(BackendRequest request, Answer answer) {
        Collector collector = new Collector(answer);
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

    /** Receiver of a short answer. */
    @FunctionalInterface
    private interface Answer {

        /** Takes the status, 0 after a failure, and the body. */
        void take(int status, byte[] body);
    }

    private static final class Collector implements BackendHandler {

        private final Answer answer;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;

        private Collector(Answer answer) {
            this.answer = answer;
        }

        @Override
        public void headersReceived(int newStatus, Map<String, String> headers) {
            status = newStatus;
        }

        @Override
        public void bodyPartReceived(byte[] bytes) {
            int room = MAX_ANSWER_BYTES - body.size();
            body.write(bytes, 0, Math.min(room, bytes.length));
        }

        @Override
        public void completed() {
            answer.take(status, body.toByteArray());
        }

        @Override
        public void failed(BackendFailure failure) {
            answer.take(0, new byte[0]);
        }
    }
}
