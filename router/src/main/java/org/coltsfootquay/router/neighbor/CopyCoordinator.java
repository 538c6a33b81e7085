package org.coltsfootquay.router.neighbor;

import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.exchange.CopySources;
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
    private final Map<WatchedTable, CopySources> copySources = new EnumMap<>(WatchedTable.class);
    private final Set<WatchedTable> scheduled = EnumSet.noneOf(WatchedTable.class);

    /**
     * Creates a coordinator.
     *
     * @param self this router
     * @param watcher holds the tables of this router
     * @param transport transport for copies
     * @param timers timers of the event loop
     */
    public CopyCoordinator(PeerRouter self, TableWatcher watcher, CopyTransport transport, TimerService timers) {
        this.watcher = watcher;
        this.transport = transport;
        this.timers = timers;
        for (WatchedTable table : WatchedTable.values()) {
            lagMonitors.put(table, new LagMonitor());
            copyRequests.put(table, new CopyRequests());
            copySources.put(table, new CopySources(self));
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
        if (table == WatchedTable.ROUTERS && mirror.readRevision() > 0 && watcher.isWatching()) {
            // Beacons announce later registrations, so a router that watches copies this table only if it has none.
            return;
        }
        LagMonitor monitor = lagMonitors.get(table);
        Duration deliveryTime = watcher.deliveryTime(table);
        if (!watcher.isWatching()) {
            if (theirs.revision() > mirror.state().revision()) {
                copySources.get(table).record(peer, theirs);
                scheduleCopy(table, deliveryTime);
            }
            deliveryTime = deliveryTime.plus(LagMonitor.GRACE_PERIOD);
        }
        if (monitor.recordPeer(peer.id(), theirs, mirror.state(), deliveryTime, timers.nowNanos())) {
            ask(peer, table, theirs);
        }
    }

    private void ask(PeerRouter peer, WatchedTable table, TableState theirs) {
        CopyRequests requests = copyRequests.get(table);
        long now = timers.nowNanos();
        if (requests.tryStart(peer.id(), now)) {
            lagMonitors
                    .get(table)
                    .recordAsked(peer.id(), theirs, watcher.mirror(table).state(), now);
            transport.fetch(peer, table, copy -> watcher.adoptCopy(table, copy), () -> requests.end(peer.id()));
        }
    }

    /** Copies a change of which no watch of this router will tell, without waiting for further beacons. */
    private void scheduleCopy(WatchedTable table, Duration delay) {
        if (scheduled.add(table)) {
            timers.scheduleOnce("copy", delay, () -> {
                scheduled.remove(table);
                copySources
                        .get(table)
                        .select(watcher.mirror(table).state().revision())
                        .ifPresent(source -> ask(source.peer(), table, source.state()));
            });
        }
    }

    /**
     * Forgets a peer that is no longer heard.
     *
     * @param peer peer
     */
    public void peerLost(RouterId peer) {
        lagMonitors.values().forEach(monitor -> monitor.removePeer(peer));
        copySources.values().forEach(sources -> sources.removePeer(peer));
    }
}
