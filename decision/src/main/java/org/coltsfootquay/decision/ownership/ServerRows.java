package org.coltsfootquay.decision.ownership;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.StoreWatcher;

/** Parsed copies of the server rows, parsed again only when a row changes. */
final class ServerRows {

    private final StoreWatcher watcher;
    private final TreeMap<ServerName, Entry> entries = new TreeMap<>();
    private long seenChanges = -1;

    ServerRows(StoreWatcher watcher) {
        this.watcher = watcher;
    }

    /** Row and its content. */
    record Entry(Row row, ServerRow content) {}

    /** Takes over the changes of the copy and tells whether there were any in any watched row. */
    boolean refresh() {
        if (watcher.changeCount() == seenChanges) {
            return false;
        }
        seenChanges = watcher.changeCount();
        Map<ServerName, Entry> before = new TreeMap<>(entries);
        entries.clear();
        for (Row row : watcher.rows(ServerRow.PREFIX)) {
            ServerName name = new ServerName(row.key().substring(ServerRow.PREFIX.length()));
            Entry old = before.get(name);
            entries.put(name, old != null && old.row().equals(row) ? old : new Entry(row, ServerRow.of(row.value())));
        }
        return true;
    }

    /** Returns all rows by server. */
    Map<ServerName, Entry> entries() {
        return Collections.unmodifiableMap(entries);
    }

    /** Returns the row of a server, or null. */
    Entry get(ServerName server) {
        return entries.get(server);
    }
}
