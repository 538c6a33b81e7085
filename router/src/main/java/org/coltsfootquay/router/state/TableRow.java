package org.coltsfootquay.router.state;

import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Row of a table, or the deletion of a row.
 *
 * @param key key
 * @param value content, empty for a deleted row; not copied
 * @param revision revision of the store at which the row changed
 * @param deleted true if the row was deleted
 */
@SuppressWarnings("ArrayRecordComponent")
public record TableRow(String key, byte[] value, long revision, boolean deleted) {

    /** Checks the values. */
    public TableRow {
        ArgumentUtils.requireValue(key, "key");
        ArgumentUtils.requireValue(value, "value");
    }
}
