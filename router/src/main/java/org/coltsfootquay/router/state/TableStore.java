package org.coltsfootquay.router.state;

import java.time.Duration;
import java.util.function.Consumer;

/** Tables that outlive routers; calls do not block, and callbacks run on the event loop of the router. */
public interface TableStore {

    /**
     * Reads a table as of one moment.
     *
     * @param table table
     * @param done gets the outcome
     */
    void read(WatchedTable table, Consumer<StoreReply> done);

    /**
     * Waits for changes of a table.
     *
     * @param table table
     * @param afterRevision revision after which changes count
     * @param wait longest time to wait; an answer without rows follows
     * @param done gets the outcome
     */
    void watch(WatchedTable table, long afterRevision, Duration wait, Consumer<StoreReply> done);

    /**
     * Writes a row of the table of routers, whatever it held before.
     *
     * @param key key
     * @param value content
     * @param done gets the outcome
     */
    void putRouter(String key, byte[] value, Consumer<StoreReply> done);

    /**
     * Deletes a row of the table of routers.
     *
     * @param key key
     * @param done gets the outcome
     */
    void deleteRouter(String key, Consumer<StoreReply> done);

    /**
     * Drops the connection of a watch, so that it is made again.
     *
     * @param table table
     */
    void reconnectWatch(WatchedTable table);
}
