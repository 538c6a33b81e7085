package org.coltsfootquay.decision.store;

import java.util.List;

/**
 * Rows that changed after a revision.
 *
 * @param rows latest state of each changed row, in order of revision
 * @param revision revision up to which all changes are included
 */
public record RowChanges(List<Row> rows, long revision) {

    /** Copies the rows. */
    public RowChanges {
        rows = List.copyOf(rows);
    }
}
