package org.coltsfootquay.router.state;

import java.time.Duration;
import java.util.function.Consumer;

/** Persistent tables; calls do not block, and callbacks run on the event loop of the router. */
public interface TableStore {

    /**
     * Reads a consistent snapshot of a table.
     *
     * @param table table
     * @param callback receives the reply
     */
    void read(WatchedTable table, Consumer<StoreReply> callback);

    /**
     * Waits for changes of a table.
     *
     * @param table table
     * @param afterRevision revision after which changes are returned
     * @param wait maximum time to wait; a reply without rows follows if nothing changes
     * @param callback receives the reply
     */
    void watch(WatchedTable table, long afterRevision, Duration wait, Consumer<StoreReply> callback);

    /**
     * Asks for the changes of a table without waiting for any, beside a watch of the table.
     *
     * @param table table
     * @param afterRevision revision after which changes are returned
     * @param timeout time after which the call fails; the next check then uses a new connection
     * @param callback receives the reply
     */
    void check(WatchedTable table, long afterRevision, Duration timeout, Consumer<StoreReply> callback);

    /**
     * Writes a row of the table of routers and overwrites an existing one.
     *
     * @param key key
     * @param value content
     * @param callback receives the reply
     */
    void putRouter(String key, byte[] value, Consumer<StoreReply> callback);

    /**
     * Deletes a row of the table of routers.
     *
     * @param key key
     * @param callback receives the reply
     */
    void deleteRouter(String key, Consumer<StoreReply> callback);

    /**
     * Closes the connection of a watch, so that a new one is established.
     *
     * @param table table
     */
    void reconnectWatch(WatchedTable table);
}
