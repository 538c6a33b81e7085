package org.coltsfootquay.router.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowValue;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;
import org.coltsfootquay.protocol.generated.RecordOperation;
import org.coltsfootquay.protocol.generated.RecordResult;

/** Translation of writes of records and their results to messages between routers. */
final class RecordMessageConverter {

    private static final ObjectMapper JSON = new ObjectMapper();

    private RecordMessageConverter() {}

    /** Returns the message of a write; empty for a write that the message cannot express. */
    static Optional<RecordOperation> toOperation(long correlation, RowWrite write) {
        if (!(write instanceof RowWrite.Put put) || put.timeToLive().isEmpty()) {
            return Optional.empty();
        }
        RecordOperation.Builder operation = RecordOperation.newBuilder()
                .setCorrelation(correlation)
                .setKey(put.key())
                .setValueJson(toJson(put.value()).toString())
                .setTimeToLiveMillis(put.timeToLive().get().toMillis());
        if (put.condition() instanceof RowCondition.AbsentOrFieldIs fieldIs) {
            operation.setConditionField(fieldIs.field()).setConditionValue(fieldIs.value());
        } else if (put.condition() instanceof RowCondition.RevisionIs revisionIs) {
            operation.setExpectedRevision(revisionIs.revision());
        } else {
            return Optional.empty();
        }
        return Optional.of(operation.build());
    }

    /** Returns the write of a message; empty when the message is malformed. */
    static Optional<RowWrite> toWrite(RecordOperation operation) {
        Optional<JsonNode> value = parseObject(operation.getValueJson());
        if (value.isEmpty() || operation.getKey().isBlank()) {
            return Optional.empty();
        }
        RowCondition condition = operation.getConditionField().isEmpty()
                ? new RowCondition.RevisionIs(operation.getExpectedRevision())
                : new RowCondition.AbsentOrFieldIs(operation.getConditionField(), operation.getConditionValue());
        return Optional.of(new RowWrite.Put(
                operation.getKey(),
                toRowValue(value.get()),
                condition,
                Optional.of(Duration.ofMillis(operation.getTimeToLiveMillis()))));
    }

    static RecordResult convertResult(long correlation, WriteResult result) {
        RecordResult.Builder message = RecordResult.newBuilder()
                .setCorrelation(correlation)
                .setOutcome(result.outcome().name().toLowerCase(Locale.ROOT))
                .setRevision(result.revision());
        result.current().ifPresent(row -> {
            ObjectNode node = JsonNodeFactory.instance.objectNode();
            node.put("key", row.key())
                    .put("revision", row.revision())
                    .put("deleted", row.deleted())
                    .put("expired", row.expired());
            node.set("value", toJson(row.value()));
            message.setCurrentJson(node.toString());
        });
        return message.build();
    }

    /** Returns the result in a message; a malformed one is unknown. */
    static WriteResult convertResult(RecordResult message) {
        Optional<Row> current = message.getCurrentJson().isEmpty()
                ? Optional.empty()
                : parseObject(message.getCurrentJson())
                        .map(node -> new Row(
                                node.path("key").asText(),
                                toRowValue(node.path("value")),
                                node.path("revision").asLong(),
                                node.path("deleted").asBoolean(),
                                node.path("expired").asBoolean()));
        return switch (message.getOutcome()) {
            case "applied" -> new WriteResult(WriteOutcome.APPLIED, message.getRevision(), current);
            case "not_applied" -> new WriteResult(WriteOutcome.NOT_APPLIED, message.getRevision(), current);
            default -> WriteResult.unknown();
        };
    }

    private static ObjectNode toJson(RowValue value) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        value.fields().forEach(node::put);
        return node;
    }

    private static RowValue toRowValue(JsonNode node) {
        Map<String, String> fields = new LinkedHashMap<>();
        node.properties()
                .forEach(field -> fields.put(field.getKey(), field.getValue().asText()));
        return new RowValue(fields);
    }

    private static Optional<JsonNode> parseObject(String text) {
        try {
            JsonNode node = JSON.readTree(text);
            return node.isObject() ? Optional.of(node) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
