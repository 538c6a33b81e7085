package org.coltsfootquay.decision.store;

import java.util.List;

/**
 * Rows that changed after a revision.
 *
 * @param rows changed rows, each in its newest state, in order of revision
 * @param revision revision up to which the changes are complete
 */
public record RowChanges(List<Row> rows, long revision) {

    /** Copies the rows. */
    public RowChanges {
        rows = List.copyOf(rows);
    }
}
