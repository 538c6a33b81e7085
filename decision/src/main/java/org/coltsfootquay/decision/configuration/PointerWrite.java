package org.coltsfootquay.decision.configuration;

import java.util.Optional;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowWrite;

/**
 * Conditional write of the pointer row.
 *
 * @param expectedRow row that the change is based on, or empty when there was none
 * @param next new content
 */
record PointerWrite(Optional<Row> expectedRow, ConfigurationPointer next) {

    RowWrite toPut() {
        RowCondition condition = expectedRow.<RowCondition>map(row -> new RowCondition.RevisionIs(row.revision()))
                .orElse(new RowCondition.Absent());
        return new RowWrite.Put(ConfigurationPointer.KEY, next.toValue(), condition, Optional.empty());
    }
}
