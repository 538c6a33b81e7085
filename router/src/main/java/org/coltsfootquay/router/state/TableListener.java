package org.coltsfootquay.router.state;

import java.util.Collection;
import java.util.List;

/** Hears of new content of a table. */
public interface TableListener {

    /**
     * The whole table was read.
     *
     * @param table table
     * @param rows all rows
     */
    void tableReplaced(WatchedTable table, Collection<TableRow> rows);

    /**
     * Rows changed.
     *
     * @param table table
     * @param changes changed and deleted rows, in order
     * @param rows all rows after the changes
     */
    void rowsChanged(WatchedTable table, List<TableRow> changes, Collection<TableRow> rows);

    /** The store does not answer. */
    void storeLost();

    /** The store answers again. */
    void storeRecovered();
}
