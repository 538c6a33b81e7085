package org.coltsfootquay.decision.store;

/**
 * Row of the table service at one point in time.
 *
 * @param key key of the row
 * @param value content; empty if the row was deleted
 * @param revision revision of the last change of content
 * @param deleted whether the row was deleted; the store reports this only in {@link TableStore#changes}
 * @param expired whether the time to live had ended according to the store's clock
 */
public record Row(String key, RowValue value, long revision, boolean deleted, boolean expired) {}
