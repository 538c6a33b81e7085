package org.coltsfootquay.decision.store;

/**
 * Row of the table service as read at one moment.
 *
 * @param key key of the row
 * @param value content; empty when the row was deleted
 * @param revision revision of the last change of content
 * @param deleted whether the row was deleted (only in {@link TableStore#changes})
 * @param expired whether the time to live had ended by the clock of the store
 */
public record Row(String key, RowValue value, long revision, boolean deleted, boolean expired) {}
