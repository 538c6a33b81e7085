package org.coltsfootquay.router.state;

import java.util.List;

/** Result of a call to the store. */
public sealed interface StoreReply {

    /**
     * Successful reply.
     *
     * @param rows all rows for a read, changed rows for a watch, empty for a write
     * @param revision newest revision that the rows include
     */
    record Rows(List<TableRow> rows, long revision) implements StoreReply {

        /**
         * Creates a reply with a copy of the list.
         *
         * @param rows rows
         * @param revision newest revision
         */
        public Rows {
            rows = List.copyOf(rows);
        }
    }

    /** The store no longer has the changes after the requested revision; the table must be read again. */
    record HistoryTruncated() implements StoreReply {}

    /**
     * The store did not respond or rejected the call; a write may still have been applied.
     *
     * @param reason HTTP status or error
     */
    record Unavailable(String reason) implements StoreReply {}
}
