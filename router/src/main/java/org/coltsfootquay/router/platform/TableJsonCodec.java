package org.coltsfootquay.router.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowChanges;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowValue;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.StoreException.Kind;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;

/** Encodes requests to the table service as JSON and decodes its responses. */
final class TableJsonCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TableJsonCodec() {}

    static byte[] encodeBatch(boolean atomic, List<RowWrite> writes) {
        ObjectNode root = MAPPER.createObjectNode().put("mode", atomic ? "atomic" : "independent");
        ArrayNode operations = root.putArray("operations");
        for (RowWrite write : writes) {
            operations.add(encodeOperation(write));
        }
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes the results of a batch; empty if the response does not have one valid result for each operation. */
    static Optional<List<WriteResult>> decodeResults(byte[] body, int operations) {
        try {
            JsonNode list = MAPPER.readTree(body).path("results");
            if (list.size() != operations) {
                return Optional.empty();
            }
            List<WriteResult> results = new ArrayList<>();
            for (JsonNode result : list) {
                boolean applied = requireField(result, "applied").asBoolean();
                JsonNode current = result.path("current");
                results.add(new WriteResult(
                        applied ? WriteOutcome.APPLIED : WriteOutcome.NOT_APPLIED,
                        applied ? requireField(result, "revision").asLong() : 0,
                        current.isObject() ? Optional.of(decodeRow(current)) : Optional.empty()));
            }
            return Optional.of(results);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    static Row decodeRow(byte[] body) throws StoreException {
        try {
            return decodeRow(MAPPER.readTree(body));
        } catch (IOException e) {
            throw malformedResponse("row", e);
        }
    }

    static RowChanges decodeChanges(byte[] body) throws StoreException {
        try {
            JsonNode root = MAPPER.readTree(body);
            List<Row> rows = new ArrayList<>();
            for (JsonNode row : requireField(root, "rows")) {
                rows.add(decodeRow(row));
            }
            return new RowChanges(rows, requireField(root, "revision").asLong());
        } catch (IOException e) {
            throw malformedResponse("list of changes", e);
        }
    }

    static StoreException malformedResponse(String what, IOException cause) {
        return new StoreException(
                Kind.MALFORMED,
                "the platform's response is not a valid " + what + " (" + cause.getMessage()
                        + "); check the configured platform address");
    }

    static JsonNode requireField(JsonNode node, String field) throws IOException {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            throw new IOException("field " + field + " is missing");
        }
        return value;
    }

    private static Row decodeRow(JsonNode node) throws IOException {
        Map<String, String> fields = new TreeMap<>();
        node.path("value")
                .properties()
                .forEach(field -> fields.put(field.getKey(), field.getValue().asText()));
        return new Row(
                requireField(node, "key").asText(),
                new RowValue(fields),
                requireField(node, "revision").asLong(),
                node.path("deleted").asBoolean(),
                node.path("expired").asBoolean());
    }

    private static ObjectNode encodeOperation(RowWrite write) {
        ObjectNode node = MAPPER.createObjectNode();
        if (write instanceof RowWrite.Put put) {
            node.put("op", "put").put("key", put.key());
            ObjectNode value = node.putObject("value");
            put.value().fields().forEach(value::put);
            put.timeToLive().ifPresent(timeToLive -> node.put("ttlMillis", timeToLive.toMillis()));
        } else if (write instanceof RowWrite.Touch touch) {
            node.put("op", "touch").put("key", touch.key());
            node.put("ttlMillis", touch.timeToLive().toMillis());
        } else if (write instanceof RowWrite.Delete delete) {
            node.put("op", "delete").put("key", delete.key());
        } else {
            node.put("op", "check").put("key", write.key());
        }
        node.set("condition", encodeCondition(write.condition()));
        return node;
    }

    private static ObjectNode encodeCondition(RowCondition condition) {
        ObjectNode node = MAPPER.createObjectNode();
        if (condition instanceof RowCondition.Absent) {
            return node.put("type", "absent");
        }
        if (condition instanceof RowCondition.AbsentOrExpired) {
            return node.put("type", "absentOrExpired");
        }
        if (condition instanceof RowCondition.RevisionIs revisionIs) {
            return node.put("type", "revisionIs").put("revision", revisionIs.revision());
        }
        if (condition instanceof RowCondition.AbsentOrFieldIs fieldIs) {
            return node.put("type", "absentOrFieldIs")
                    .put("field", fieldIs.field())
                    .put("value", fieldIs.value());
        }
        return node.put("type", "always");
    }
}
