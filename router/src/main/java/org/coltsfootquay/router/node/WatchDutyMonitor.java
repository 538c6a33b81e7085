package org.coltsfootquay.router.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.exchange.WatchDuty;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.peer.PeerTable;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.metrics.RouterMetrics;
import org.coltsfootquay.router.state.IndirectContact;

/** Follows whether this router has to watch the store, by the beacons of its peers; used on the event loop. */
final class WatchDutyMonitor {

    private static final EventLog LOG = EventLog.of(WatchDutyMonitor.class);

    /** Beacon periods without a beacon after which a router is not relied on; two beacons were lost. */
    private static final double SILENCE_PERIODS = 2.5;

    private final PeerRouter self;
    private final int minRouters;
    private final PeerTable peers;
    private final TimerService timers;
    private final IndirectContact contact;

    /** Peers whose last beacon reported unbroken contact with the store. */
    private final Set<RouterId> inContact = new HashSet<>();

    private boolean watcher = true;

    WatchDutyMonitor(
            PeerRouter self,
            int minRouters,
            PeerTable peers,
            TimerService timers,
            IndirectContact contact,
            RouterMetrics metrics) {
        this.self = self;
        this.minRouters = minRouters;
        this.peers = peers;
        this.timers = timers;
        this.contact = contact;
        metrics.gauge("coltsfootquay_store_watcher", () -> watcher ? 1 : 0);
    }

    /** Records whether a peer is in unbroken contact with the store. */
    void contactReported(RouterId peer, boolean unbroken) {
        if (unbroken) {
            inContact.add(peer);
        } else {
            inContact.remove(peer);
        }
    }

    /** Returns whether some routers watch for the others. */
    boolean isShared() {
        return minRouters > 0 && peers.members().size() >= minRouters;
    }

    /** Returns whether this router has to watch now. */
    boolean isWatcher() {
        boolean now = !isShared() || !contact.isConfirmed() || isSelected();
        if (now != watcher) {
            watcher = now;
            LOG.info("watch_duty", "watcher", now, "routers", peers.members().size());
        }
        return now;
    }

    private boolean isSelected() {
        Duration silence = Duration.ofMillis((long) (peers.beaconPeriod().toMillis() * SILENCE_PERIODS));
        Map<PeerRouter, Boolean> heard = new HashMap<>();
        peers.heardWithin(silence, timers.nowNanos())
                .keySet()
                .forEach(peer -> heard.put(peer, inContact.contains(peer.id())));
        inContact.retainAll(Set.copyOf(peers.members()));
        return WatchDuty.isWatcher(self, heard, peers.members().size());
    }
}
