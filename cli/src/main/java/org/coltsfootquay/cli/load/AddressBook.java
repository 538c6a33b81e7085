package org.coltsfootquay.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/** Router addresses as callers keep them: asked for from any known router and kept as long as the answer allows. */
public final class AddressBook {

    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient http;
    private final List<String> seeds;
    private final AtomicReference<Answer> answer = new AtomicReference<>(new Answer(List.of(), 0));

    /**
     * Creates an address book.
     *
     * @param http client
     * @param seeds addresses of routers to ask first, at least one
     */
    public AddressBook(HttpClient http, List<String> seeds) {
        this.http = http;
        this.seeds = List.copyOf(seeds);
    }

    /**
     * Returns the router addresses, best first, and asks for them again when the kept answer has expired.
     *
     * @return addresses; the seeds when no router answers
     */
    public List<String> addresses() {
        Answer kept = answer.get();
        if (System.nanoTime() < kept.expiresNanos) {
            return kept.addresses;
        }
        List<String> candidates = new ArrayList<>(kept.addresses);
        candidates.addAll(seeds);
        for (String candidate : candidates) {
            Answer fresh = ask(candidate);
            if (!fresh.addresses.isEmpty()) {
                answer.set(fresh);
                return fresh.addresses;
            }
        }
        return seeds;
    }

    private Answer ask(String router) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + router + "/v1/addresses"))
                .timeout(TIMEOUT)
                .build();
        try {
            JsonNode body = MAPPER.readTree(
                    http.send(request, HttpResponse.BodyHandlers.ofString()).body());
            List<String> addresses = new ArrayList<>();
            body.path("addresses")
                    .forEach(entry -> addresses.add(
                            entry.isTextual()
                                    ? entry.asText()
                                    : entry.path("address").asText()));
            long keepMillis = body.path("keepMillis").asLong(1000);
            return new Answer(
                    addresses, System.nanoTime() + Duration.ofMillis(keepMillis).toNanos());
        } catch (IOException e) {
            return new Answer(List.of(), 0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(List.of(), 0);
        }
    }

    private record Answer(List<String> addresses, long expiresNanos) {}
}
