package org.coltsfootquay.router.node;

import java.util.Optional;
import org.coltsfootquay.decision.peer.TableState;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.router.state.TableMirror;
import org.coltsfootquay.router.state.TableWatcher;
import org.coltsfootquay.router.state.WatchedTable;

/** Converts the states of the watched tables to and from beacons. */
final class TableStateCodec {

    private TableStateCodec() {}

    /**
     * Adds the states of all tables to a beacon.
     *
     * @param beacon beacon
     * @param watcher holds the tables
     */
    static void add(Beacon.Builder beacon, TableWatcher watcher) {
        for (WatchedTable table : WatchedTable.values()) {
            TableMirror mirror = watcher.mirror(table);
            TableState state = mirror.state();
            beacon.addTableRevisions(state.revision())
                    .addTableDigests(state.digest())
                    .addTableConfirmedMillis(mirror.confirmedMillis().orElse(0))
                    .addTableEras(state.era());
        }
    }

    /**
     * Returns the state of a table of the sender.
     *
     * @param beacon beacon
     * @param table table
     * @return state, or empty if the beacon has none
     */
    static Optional<TableState> state(Beacon beacon, WatchedTable table) {
        int number = table.number();
        if (number >= beacon.getTableRevisionsCount() || number >= beacon.getTableDigestsCount()) {
            return Optional.empty();
        }
        return Optional.of(
                new TableState(era(beacon, table), beacon.getTableRevisions(number), beacon.getTableDigests(number)));
    }

    /**
     * Returns the era of the store in which the sender has read a table.
     *
     * @param beacon beacon
     * @param table table
     * @return era, 0 if unknown
     */
    static long era(Beacon beacon, WatchedTable table) {
        return table.number() < beacon.getTableErasCount() ? beacon.getTableEras(table.number()) : 0;
    }

    /**
     * Returns up to when the sender's copy of a table includes all changes.
     *
     * @param beacon beacon
     * @param table table
     * @return milliseconds of the store's clock, 0 if unknown
     */
    static long confirmedMillis(Beacon beacon, WatchedTable table) {
        return table.number() < beacon.getTableConfirmedMillisCount()
                ? beacon.getTableConfirmedMillis(table.number())
                : 0;
    }
}
