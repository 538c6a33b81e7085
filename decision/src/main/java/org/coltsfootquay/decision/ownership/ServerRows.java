package org.coltsfootquay.decision.ownership;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.StoreWatcher;

/** Parsed server rows; a row is parsed again only when it changes. */
final class ServerRows {

    private final StoreWatcher watcher;
    private final TreeMap<ServerName, Entry> entries = new TreeMap<>();
    private long processedChangeCount = -1;

    ServerRows(StoreWatcher watcher) {
        this.watcher = watcher;
    }

    /** Row and its parsed content. */
    record Entry(Row row, ServerRow content) {}

    /** Applies the changes of the store watcher and returns whether any watched row changed. */
    boolean refresh() {
        if (watcher.changeCount() == processedChangeCount) {
            return false;
        }
        processedChangeCount = watcher.changeCount();
        Map<ServerName, Entry> before = new TreeMap<>(entries);
        entries.clear();
        for (Row row : watcher.rows(ServerRow.PREFIX)) {
            ServerName name = new ServerName(row.key().substring(ServerRow.PREFIX.length()));
            Entry old = before.get(name);
            entries.put(name, old != null && old.row().equals(row) ? old : new Entry(row, ServerRow.of(row.value())));
        }
        return true;
    }

    /** Returns all entries by server name. */
    Map<ServerName, Entry> entries() {
        return Collections.unmodifiableMap(entries);
    }

    /** Returns the entry of a server, or null if it has no row. */
    Entry get(ServerName server) {
        return entries.get(server);
    }
}
