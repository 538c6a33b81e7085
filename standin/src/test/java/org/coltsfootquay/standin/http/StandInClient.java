package org.coltsfootquay.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Blocking client of one stand-in for tests. */
public final class StandInClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String address;

    public StandInClient(String address) {
        this.address = address;
    }

    public HttpResponse<String> send(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return client.send(request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    public CompletableFuture<HttpResponse<String>> sendAsync(
            String method, String path, String body, String... headers) {
        return client.sendAsync(request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    public HttpResponse<Stream<String>> lines(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return client.send(request(method, path, body, headers), HttpResponse.BodyHandlers.ofLines());
    }

    public JsonNode get(String path) throws IOException, InterruptedException {
        return MAPPER.readTree(send("GET", path, "").body());
    }

    /** Reads a path until the answer satisfies a condition; fails after 10 s. */
    public JsonNode await(String path, Predicate<JsonNode> condition) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        JsonNode answer = get(path);
        while (!condition.test(answer)) {
            if (System.nanoTime() - endNanos > 0) {
                throw new AssertionError(path + " still answers " + answer);
            }
            answer = get(path);
        }
        return answer;
    }

    public static JsonNode parse(String json) throws IOException {
        return MAPPER.readTree(json);
    }

    private HttpRequest request(String method, String path, String body, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(20))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        return headers.length == 0 ? request.build() : request.headers(headers).build();
    }
}
