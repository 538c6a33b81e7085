package org.coltsfootquay.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One operation of a batch.
 *
 * @param kind what the operation does
 * @param key key of the row
 * @param value fields of a put
 * @param condition condition of the operation
 * @param timeToLiveMillis time to live in milliseconds, if the row shall expire
 */
record TableOperation(
        Kind kind, String key, Map<String, String> value, Condition condition, Optional<Long> timeToLiveMillis) {

    /** What an operation does. */
    enum Kind {
        PUT,
        TOUCH,
        DELETE,
        CHECK
    }

    /** Condition on the row as it stands; the row is null when it does not exist. */
    @FunctionalInterface
    interface Condition {
        boolean holds(StoredRow row, long nowNanos);
    }

    /**
     * Reads an operation.
     *
     * @throws IllegalArgumentException with a message for the caller
     */
    static TableOperation read(JsonNode json) {
        Kind kind = switch (json.path("op").asText()) {
            case "put" -> Kind.PUT;
            case "touch" -> Kind.TOUCH;
            case "delete" -> Kind.DELETE;
            case "check" -> Kind.CHECK;
            default -> throw new IllegalArgumentException("op must be put, touch, delete or check");
        };
        String key = json.path("key").asText();
        if (key.isEmpty()) {
            throw new IllegalArgumentException("key must not be empty");
        }
        Map<String, String> value = new TreeMap<>();
        json.path("value")
                .properties()
                .forEach(field -> value.put(field.getKey(), field.getValue().asText()));
        JsonNode timeToLive = json.path("ttlMillis");
        if (kind == Kind.TOUCH && !timeToLive.isNumber()) {
            throw new IllegalArgumentException("touch needs ttlMillis");
        }
        return new TableOperation(
                kind,
                key,
                value,
                condition(json.path("condition")),
                timeToLive.isNumber() ? Optional.of(timeToLive.asLong()) : Optional.empty());
    }

    private static Condition condition(JsonNode json) {
        return switch (json.path("type").asText()) {
            case "absent" -> (row, now) -> row == null;
            case "absentOrExpired" -> (row, now) -> row == null || row.expired(now);
            case "revisionIs" -> {
                long revision = json.path("revision").asLong(-1);
                yield (row, now) -> row != null && row.revision() == revision;
            }
            case "absentOrFieldIs" -> {
                String field = json.path("field").asText();
                String value = json.path("value").asText();
                yield (row, now) -> row == null || value.equals(row.value().get(field));
            }
            case "always" -> (row, now) -> true;
            default ->
                throw new IllegalArgumentException(
                        "condition type must be absent, absentOrExpired, revisionIs, absentOrFieldIs or always");
        };
    }
}
