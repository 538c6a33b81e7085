package org.coltsfootquay.cli.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.concurrent.Flow;
import java.util.function.LongConsumer;

/** Collects a stream of server-sent events line by line; one thread at a time calls it. */
final class StreamCollector implements Flow.Subscriber<String> {

    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String PREFIX = "data:";
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final StringBuilder text = new StringBuilder();
    private final LongConsumer onToken;
    private volatile long firstTokenNanos = -1;
    private volatile long longestGapMillis;
    private volatile int tokens;
    private volatile boolean done;
    private volatile String error = "";
    private long lastTokenNanos;

    /**
     * Creates a collector.
     *
     * @param onToken called for each token with its position
     */
    StreamCollector(LongConsumer onToken) {
        this.onToken = onToken;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        if (!line.startsWith(PREFIX)) {
            return;
        }
        String data = line.substring(PREFIX.length()).strip();
        if (data.equals("[DONE]")) {
            done = true;
            return;
        }
        try {
            JsonNode event = MAPPER.readTree(data);
            if (event.has("error")) {
                error = event.path("error").path("code").asText("error");
                return;
            }
            String content =
                    event.path("choices").path(0).path("delta").path("content").asText("");
            if (!content.isEmpty()) {
                token(content);
            }
        } catch (JsonProcessingException e) {
            error = "event is not JSON";
        }
    }

    @Override
    public void onError(Throwable failure) {
        if (error.isEmpty()) {
            error = "connection broken";
        }
    }

    @Override
    public void onComplete() {}

    String text() {
        return text.toString();
    }

    int tokens() {
        return tokens;
    }

    boolean isDone() {
        return done;
    }

    String error() {
        return error;
    }

    long firstTokenNanos() {
        return firstTokenNanos;
    }

    long longestGapMillis() {
        return longestGapMillis;
    }

    private void token(String content) {
        long now = System.nanoTime();
        if (tokens == 0) {
            firstTokenNanos = now;
        } else {
            longestGapMillis = Math.max(longestGapMillis, (now - lastTokenNanos) / NANOS_PER_MILLI);
        }
        lastTokenNanos = now;
        text.append(content);
        int position = tokens;
        tokens = position + 1;
        onToken.accept(position);
    }
}
