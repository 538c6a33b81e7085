package org.coltsfootquay.router.node;

import java.time.Duration;
import java.util.Map;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.selection.PromptCacheView;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.protocol.generated.peer.CachedParts;
import org.coltsfootquay.protocol.generated.peer.CachedServer;
import org.coltsfootquay.router.forward.ForwardingContext;
import org.coltsfootquay.router.forward.PromptCacheUpdate;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.neighbor.TableCopyExchange;

/**
 * Copies the view of cached shared prompt parts from a peer when this router joins a running fleet.
 *
 * <p>Until the copy has arrived, the home server of a part is assumed to have cached it. Without a copy, the router
 * would send parts that have moved from their home servers to servers that must read them again.
 */
final class CacheViewBootstrap {

    private static final EventLog LOG = EventLog.of(CacheViewBootstrap.class);

    /** Time in which a joining router learns of most shared parts from the beacons of its peers. */
    private static final Duration BOOTSTRAP_TIMEOUT = Duration.ofSeconds(15);

    /** Time to wait for a peer of the own zone, since traffic between zones is charged. */
    private static final Duration OWN_ZONE_WAIT = Duration.ofSeconds(1);

    private final ZoneName zone;
    private final ForwardingContext forwarding;
    private final TableCopyExchange copyExchange;
    private final TimerService timers;
    private long startNanos;
    private boolean joining;
    private boolean fetchInProgress;

    CacheViewBootstrap(
            ZoneName zone, ForwardingContext forwarding, TableCopyExchange copyExchange, TimerService timers) {
        this.zone = zone;
        this.forwarding = forwarding;
        this.copyExchange = copyExchange;
        this.timers = timers;
    }

    /** Starts to request a copy from peers. */
    void start() {
        joining = true;
        startNanos = timers.nowNanos();
        forwarding.promptCaches().setAssumeHomesCached(true);
        var unused = timers.scheduleOnce("cache view bootstrap", BOOTSTRAP_TIMEOUT, this::finish);
    }

    /** Returns whether this router still lacks a view of what servers have cached. */
    boolean isJoining() {
        return joining;
    }

    /** Requests a copy from the sender of a beacon, if one is needed and the peer is eligible. */
    void beaconReceived(PeerRouter peer, boolean peerJoining) {
        boolean eligibleZone = peer.zone().equals(zone) || timers.nowNanos() - startNanos >= OWN_ZONE_WAIT.toNanos();
        if (!joining || fetchInProgress || peerJoining || !eligibleZone || !forwarding.isReady()) {
            return;
        }
        fetchInProgress = true;
        copyExchange.fetchCachedParts(peer, parts -> applyCopy(peer, parts), () -> fetchInProgress = false);
    }

    private void applyCopy(PeerRouter peer, CachedParts parts) {
        int count = 0;
        for (CachedServer server : parts.getServersList()) {
            int partCount = Math.min(server.getSharedKeysCount(), server.getTokensCount());
            for (int i = 0; i < partCount && !server.getServer().isEmpty(); i++) {
                ServerName name = new ServerName(server.getServer());
                forwarding.recordPromptCacheUpdate(
                        new PromptCacheUpdate(name, server.getSharedKeys(i), server.getTokens(i)));
                count++;
            }
        }
        LOG.info("cached_parts_copied", "peer", peer.id(), "parts", count);
        if (count > 0) {
            finish();
        }
    }

    private void finish() {
        joining = false;
        forwarding.promptCaches().setAssumeHomesCached(false);
    }

    /** Returns the shared prompt parts that servers have cached according to the view of this router. */
    static CachedParts snapshot(ForwardingContext forwarding) {
        PromptCacheView caches = forwarding.promptCaches();
        CachedParts.Builder parts = CachedParts.newBuilder();
        for (ServerName server : caches.servers()) {
            CachedServer.Builder cached = CachedServer.newBuilder().setServer(server.value());
            for (Map.Entry<Long, Integer> part : caches.cachedParts(server).entrySet()) {
                cached.addSharedKeys(part.getKey()).addTokens(part.getValue());
            }
            parts.addServers(cached);
        }
        return parts.build();
    }
}
