package org.coltsfootquay.router.timeline;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;

/** Converts timeline entries to and from JSON lines, the format that the operator interface serves. */
public final class TimelineJsonUtils {

    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private TimelineJsonUtils() {}

    /**
     * Serializes an entry.
     *
     * @param entry entry to serialize
     * @return JSON object without a line break
     */
    public static String write(TimelineEntry entry) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("process", entry.process())
                .put("sequence", entry.sequence())
                .put("epochMicros", entry.epochMicros())
                .put("kind", entry.event().kind().label());
        ObjectNode fields = node.putObject("fields");
        entry.event().fields().forEach(fields::put);
        return node.toString();
    }

    /**
     * Parses an entry.
     *
     * @param line JSON object
     * @return the entry, or a message that explains why the line is invalid
     */
    public static Either<String, TimelineEntry> read(String line) {
        try {
            JsonNode node = MAPPER.readTree(line);
            Map<String, String> fields = new LinkedHashMap<>();
            node.path("fields")
                    .properties()
                    .forEach(
                            field -> fields.put(field.getKey(), field.getValue().asText()));
            EventKind kind = EventKind.valueOf(node.path("kind").asText().toUpperCase(Locale.ROOT));
            return Either.right(new TimelineEntry(
                    node.path("process").asText(),
                    node.path("sequence").asLong(),
                    node.path("epochMicros").asLong(),
                    new TimelineEvent(kind, fields)));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Either.left("not a timeline entry: " + e.getMessage());
        }
    }
}
