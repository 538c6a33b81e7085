package org.coltsfootquay.router.state;

import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;

/**
 * Content of a copy of a table, as passed between routers.
 *
 * @param rows rows, and retained removals as deleted rows
 * @param readRevision revision of the latest full read that the copy includes; a row up to this revision that the copy
 *     does not have is removed
 * @param revision revision of the last change that the copy is known to include
 * @param confirmedMillis time of the store's clock up to which the copy includes all changes, empty while unknown
 * @param era era of the store in which the copy was read, 0 if the store states none
 */
public record TableSnapshot(
        Collection<TableRow> rows, long readRevision, long revision, OptionalLong confirmedMillis, long era) {

    /** Copies the rows. */
    public TableSnapshot {
        rows = List.copyOf(rows);
    }

    /**
     * Creates a copy of a store that states no era.
     *
     * @param rows rows
     * @param readRevision revision of the latest full read
     * @param revision revision of the last change
     * @param confirmedMillis time of the store's clock up to which the copy includes all changes
     */
    public TableSnapshot(Collection<TableRow> rows, long readRevision, long revision, OptionalLong confirmedMillis) {
        this(rows, readRevision, revision, confirmedMillis, 0);
    }

    /**
     * Creates a copy whose age is unknown.
     *
     * @param rows rows
     * @param readRevision revision of the latest full read
     * @param revision revision of the last change
     */
    public TableSnapshot(Collection<TableRow> rows, long readRevision, long revision) {
        this(rows, readRevision, revision, OptionalLong.empty());
    }
}
