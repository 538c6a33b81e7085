package org.coltsfootquay.router.state;

import java.util.Collection;
import java.util.List;

/** Listener for changes of tables and of the availability of the store. */
public interface TableListener {

    /**
     * Called when the copy of a table was replaced.
     *
     * @param table table
     * @param rows all rows
     */
    void tableReplaced(WatchedTable table, Collection<TableRow> rows);

    /**
     * Called when rows of a table changed.
     *
     * @param table table
     * @param changes changed and deleted rows, in order
     * @param rows all rows after the changes
     */
    void rowsChanged(WatchedTable table, List<TableRow> changes, Collection<TableRow> rows);

    /**
     * Called when the store has returned from an older copy, before the rows of that copy are reported.
     *
     * @param table table
     */
    default void storeEraChanged(WatchedTable table) {
        // Most listeners keep nothing that depends on the era.
    }

    /** Called when the store becomes unavailable. */
    void storeLost();

    /** Called when the store is available again. */
    void storeRecovered();
}
