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
import org.coltsfootquay.router.forward.PromptCacheUpdate;
import org.coltsfootquay.router.forward.ForwardingContext;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.neighbor.TableCopyExchange;

/**
 * Learns from a peer which shared prompt parts servers keep, when this router joins a running fleet.
 *
 * <p>Until then the home of a part is believed to keep it. Without a copy a router sends parts that have moved from
 * their homes to be read again.
 */
final class CacheViewBootstrap {

    private static final EventLog LOG = EventLog.of(CacheViewBootstrap.class);

    /** Time in which a router that joins hears of most shared parts from the beacons of its peers. */
    private static final Duration BOOTSTRAP_TIMEOUT = Duration.ofSeconds(15);

    /** Time for which a peer of the own zone is waited for, since copies between zones are priced. */
    private static final Duration OWN_ZONE_WAIT = Duration.ofSeconds(1);

    private final ZoneName zone;
    private final ForwardingContext forwarding;
    private final TableCopyExchange copyExchange;
    private final TimerService timers;
    private long startNanos;
    private boolean isJoining;
    private boolean fetchInProgress;

    CacheViewBootstrap(ZoneName zone, ForwardingContext forwarding, TableCopyExchange copies, TimerService timers) {
        this.zone = zone;
        this.forwarding = forwarding;
        this.copyExchange = copies;
        this.timers = timers;
    }

    /** Begins to ask peers. */
    void start() {
        isJoining = true;
        startNanos = timers.nowNanos();
        forwarding.promptCaches().setAssumeHomesCached(true);
        var unused = timers.scheduleOnce("join time", BOOTSTRAP_TIMEOUT, this::finish);
    }

    /** Tells whether this router does not know yet what servers keep. */
    boolean isJoining() {
        return isJoining;
    }

    /** Asks a peer that was heard, if it can answer. */
    void beaconReceived(PeerRouter peer, boolean peerJoins) {
        boolean near = peer.zone().equals(zone) || timers.nowNanos() - startNanos >= OWN_ZONE_WAIT.toNanos();
        if (!isJoining || fetchInProgress || peerJoins || !near || !forwarding.isReady()) {
            return;
        }
        fetchInProgress = true;
        copyExchange.fetchCachedParts(peer, parts -> applyCopy(peer, parts), () -> fetchInProgress = false);
    }

    private void applyCopy(PeerRouter peer, CachedParts parts) {
        int count = 0;
        for (CachedServer server : parts.getServersList()) {
            int known = Math.min(server.getSharedKeysCount(), server.getTokensCount());
            for (int i = 0; i < known && !server.getServer().isEmpty(); i++) {
                ServerName name = new ServerName(server.getServer());
                forwarding.recordPromptCacheUpdate(new PromptCacheUpdate(name, server.getSharedKeys(i), server.getTokens(i)));
                count++;
            }
        }
        LOG.info("cached_parts_copied", "peer", peer.id(), "parts", count);
        if (count > 0) {
            finish();
        }
    }

    private void finish() {
        isJoining = false;
        forwarding.promptCaches().setAssumeHomesCached(false);
    }

    /** Returns what this router knows. */
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
