package org.coltsfootquay.router.state;

import java.util.List;
import java.util.OptionalLong;

/** Result of a call to the store. */
public sealed interface StoreReply {

    /**
     * Successful reply.
     *
     * @param rows all rows for a read, changed rows for a watch, empty for a write
     * @param revision newest revision that the rows include
     * @param storeMillis time of the store's clock at which the rows were current, milliseconds; empty if not stated
     * @param era era of the store, which rises when the store returns from an older copy; 0 if not stated
     */
    record Rows(List<TableRow> rows, long revision, OptionalLong storeMillis, long era) implements StoreReply {

        /**
         * Creates a reply with a copy of the list.
         *
         * @param rows rows
         * @param revision newest revision
         * @param storeMillis time of the store's clock
         * @param era era of the store
         */
        public Rows {
            rows = List.copyOf(rows);
        }

        /**
         * Creates a reply of a store that states no era.
         *
         * @param rows rows
         * @param revision newest revision
         * @param storeMillis time of the store's clock
         */
        public Rows(List<TableRow> rows, long revision, OptionalLong storeMillis) {
            this(rows, revision, storeMillis, 0);
        }

        /**
         * Creates a reply that does not state the time of the store's clock.
         *
         * @param rows rows
         * @param revision newest revision
         */
        public Rows(List<TableRow> rows, long revision) {
            this(rows, revision, OptionalLong.empty());
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
