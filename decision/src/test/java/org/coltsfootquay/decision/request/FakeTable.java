package org.coltsfootquay.decision.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;

/** In-memory table service that evaluates the conditions of puts. */
public final class FakeTable {

    private final Map<String, Row> rows = new HashMap<>();
    private long revision;

    public WriteResult apply(RowWrite write) {
        RowWrite.Put put = (RowWrite.Put) write;
        Row current = rows.get(put.key());
        if (!holds(put.condition(), current)) {
            return new WriteResult(WriteOutcome.NOT_APPLIED, 0, Optional.ofNullable(current));
        }
        revision++;
        rows.put(put.key(), new Row(put.key(), put.value(), revision, false, false));
        return new WriteResult(WriteOutcome.APPLIED, revision, Optional.empty());
    }

    public Optional<Row> read(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    public void expire(String key) {
        rows.computeIfPresent(key, (name, row) -> new Row(name, row.value(), row.revision(), false, true));
    }

    private static boolean holds(RowCondition condition, Row current) {
        if (condition instanceof RowCondition.RevisionIs expected) {
            return current != null && current.revision() == expected.revision();
        }
        if (condition instanceof RowCondition.AbsentOrFieldIs field) {
            return current == null
                    || current.value().optionalText(field.field()).equals(Optional.of(field.value()));
        }
        throw new IllegalArgumentException("unsupported condition " + condition);
    }
}
