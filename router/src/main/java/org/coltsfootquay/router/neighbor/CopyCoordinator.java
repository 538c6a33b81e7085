package org.coltsfootquay.router.neighbor;

import java.util.EnumMap;
import java.util.Map;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.peer.CopyRequests;
import org.coltsfootquay.decision.peer.LagMonitor;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.peer.TableState;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.state.TableMirror;
import org.coltsfootquay.router.state.TableWatcher;
import org.coltsfootquay.router.state.WatchedTable;

/** Compares the tables of this router with those of its peers, and requests copies; used on one event loop. */
public final class CopyCoordinator {

    private final TableWatcher watcher;
    private final CopyTransport transport;
    private final TimerService timers;
    private final Map<WatchedTable, LagMonitor> lagMonitors = new EnumMap<>(WatchedTable.class);
    private final Map<WatchedTable, CopyRequests> copyRequests = new EnumMap<>(WatchedTable.class);

    /**
     * Creates a coordinator.
     *
     * @param watcher holds the tables of this router
     * @param transport transport for copies
     * @param timers timers of the event loop
     */
    public CopyCoordinator(TableWatcher watcher, CopyTransport transport, TimerService timers) {
        this.watcher = watcher;
        this.transport = transport;
        this.timers = timers;
        for (WatchedTable table : WatchedTable.values()) {
            lagMonitors.put(table, new LagMonitor());
            copyRequests.put(table, new CopyRequests());
        }
    }

    /**
     * Processes the state of a peer's table.
     *
     * @param peer peer
     * @param table table
     * @param theirs state of the peer's copy
     */
    public void stateReported(PeerRouter peer, WatchedTable table, TableState theirs) {
        TableMirror mirror = watcher.mirror(table);
        if (table == WatchedTable.ROUTERS && mirror.readRevision() > 0) {
            // Beacons announce later registrations, so this table is copied only while this router has none.
            return;
        }
        LagMonitor monitor = lagMonitors.get(table);
        CopyRequests requests = copyRequests.get(table);
        long now = timers.nowNanos();
        if (monitor.recordPeer(peer.id(), theirs, mirror.state(), watcher.deliveryTime(table), now)
                && requests.tryStart(peer.id(), now)) {
            monitor.recordAsked(peer.id(), theirs, mirror.state(), now);
            transport.fetch(peer, table, copy -> watcher.adoptCopy(table, copy), () -> requests.end(peer.id()));
        }
    }

    /**
     * Forgets a peer that is no longer heard.
     *
     * @param peer peer
     */
    public void peerLost(RouterId peer) {
        lagMonitors.values().forEach(monitor -> monitor.removePeer(peer));
    }
}
