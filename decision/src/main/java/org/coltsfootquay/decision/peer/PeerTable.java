package org.coltsfootquay.decision.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Routers that are registered in the store and routers that sent a beacon recently; not thread-safe.
 *
 * <p>Callers are directed only to routers with a recent beacon, since registrations remain after a router is gone.
 * Limits that all routers share count every registered router, so that they also hold during a network partition.
 */
public final class PeerTable {

    /** Minimum time between two beacons of a router, and between two load updates in a large fleet. */
    public static final Duration MIN_PERIOD = Duration.ofMillis(200);

    /** Minimum time between two load updates in a small fleet; requests that arrive together share an update. */
    private static final Duration MIN_UPDATE_INTERVAL = Duration.ofMillis(15);

    /** Maximum time between two beacons; bounds how long callers are directed to a dead router in a large fleet. */
    public static final Duration MAX_PERIOD = Duration.ofSeconds(1);

    /** Number of routers up to which beacons use the minimum period; larger fleets send less often to bound cost. */
    private static final int SMALL_FLEET_SIZE = 16;

    /** Maximum number of load update datagrams per second and router; bounds their cost in a very large fleet. */
    private static final int MAX_UPDATES_PER_SECOND = 400;

    /** Periods without a beacon after which callers are not directed to a peer: four consecutive beacons were lost. */
    private static final double SILENCE_TIMEOUT_PERIODS = 4.5;

    /** Time without beacons after which a registration is removed; longer than any repair takes. */
    private static final Duration REGISTRATION_TIMEOUT = Duration.ofMinutes(10);

    private final PeerRouter self;
    private final Map<RouterId, PeerRouter> registered = new TreeMap<>();
    private final Map<RouterId, Long> silentSinceNanos = new HashMap<>();
    private final Map<RouterId, HeardPeer> heardPeers = new HashMap<>();
    private RouterUse ownUse = RouterUse.UNKNOWN;

    /** Cached result of {@link #members()}; null after a change until the next read. */
    private List<RouterId> members;

    /** Cached result of {@link #beaconTargets()}; null after a change until the next read. */
    private List<PeerRouter> targets;

    /**
     * Creates a table.
     *
     * @param self this router
     */
    public PeerTable(PeerRouter self) {
        this.self = ArgumentUtils.requireValue(self, "self");
    }

    /**
     * Replaces the registered routers with those of the store.
     *
     * @param routers registered routers
     */
    public void replaceRegistrations(Collection<PeerRouter> routers) {
        registered.clear();
        routers.forEach(router -> registered.put(router.id(), router));
        registered.remove(self.id());
        members = null;
        targets = null;
    }

    /**
     * Records a beacon of a peer.
     *
     * @param peer peer
     * @param ready true if it accepts callers
     * @param nowNanos current time
     */
    public void recordBeacon(PeerRouter peer, boolean ready, long nowNanos) {
        recordBeacon(peer, ready, RouterUse.UNKNOWN, nowNanos);
    }

    /**
     * Records a beacon of a peer that states the use of its resources.
     *
     * @param peer peer
     * @param ready true if it accepts callers
     * @param use use of its resources
     * @param nowNanos current time
     */
    public void recordBeacon(PeerRouter peer, boolean ready, RouterUse use, long nowNanos) {
        if (!peer.id().equals(self.id())) {
            HeardPeer previous = heardPeers.put(peer.id(), new HeardPeer(peer, ready, use, nowNanos));
            if (previous == null) {
                members = null;
            }
            if (previous == null || !previous.peer.equals(peer)) {
                targets = null;
            }
        }
    }

    /**
     * Sets the use of this router's own resources.
     *
     * @param use use
     */
    public void setOwnUse(RouterUse use) {
        ownUse = ArgumentUtils.requireValue(use, "use");
    }

    /**
     * Returns the use of this router's own resources.
     *
     * @return use, unknown unless it is measured
     */
    public RouterUse ownUse() {
        return ownUse;
    }

    /**
     * Returns what the ready routers have reported of their use.
     *
     * @param selfReady true if this router accepts callers
     * @param nowNanos current time
     * @return reports of this router and of the peers with a recent beacon
     */
    public List<UseReport> useReports(boolean selfReady, long nowNanos) {
        List<UseReport> reports = new ArrayList<>();
        if (selfReady) {
            reports.add(new UseReport(self.id(), self.zone(), ownUse, nowNanos));
        }
        for (HeardPeer entry : heardPeers.values()) {
            if (entry.acceptsCallers(silenceTimeout(), nowNanos)) {
                reports.add(new UseReport(entry.peer.id(), entry.peer.zone(), entry.use, entry.atNanos));
            }
        }
        return reports;
    }

    /**
     * Returns the time between two beacons of one router.
     *
     * @return period; grows with the number of routers between its bounds
     */
    public Duration beaconPeriod() {
        long millis = MIN_PERIOD.toMillis() * members().size() / SMALL_FLEET_SIZE;
        return Duration.ofMillis(Math.min(MAX_PERIOD.toMillis(), Math.max(MIN_PERIOD.toMillis(), millis)));
    }

    /**
     * Returns the time between two load updates of one router.
     *
     * @return period; zero while beacons are at least as frequent as updates would be
     */
    public Duration updatePeriod() {
        if (beaconPeriod().compareTo(MIN_PERIOD) <= 0) {
            return Duration.ZERO;
        }
        long millis = Duration.ofSeconds(members().size()).toMillis() / MAX_UPDATES_PER_SECOND;
        return Duration.ofMillis(Math.max(MIN_PERIOD.toMillis(), millis));
    }

    /**
     * Returns the minimum time between two load updates that follow the dispatch of a request.
     *
     * @return time; grows with the number of routers
     */
    public Duration minUpdateInterval() {
        long millis = Duration.ofSeconds(members().size()).toMillis() / MAX_UPDATES_PER_SECOND;
        return Duration.ofMillis(Math.max(MIN_UPDATE_INTERVAL.toMillis(), millis));
    }

    /**
     * Returns the time without a beacon after which callers are not directed to a peer.
     *
     * @return timeout
     */
    public Duration silenceTimeout() {
        return Duration.ofMillis((long) (beaconPeriod().toMillis() * SILENCE_TIMEOUT_PERIODS));
    }

    /**
     * Returns the registered routers without a beacon for the registration timeout, if this router has to remove them.
     *
     * @param nowNanos current time
     * @return routers to remove from the store; empty unless this router has the lowest identifier of all live routers
     */
    public List<RouterId> expiredRegistrations(long nowNanos) {
        silentSinceNanos.keySet().retainAll(registered.keySet());
        silentSinceNanos.keySet().removeAll(heardPeers.keySet());
        List<RouterId> expired = new ArrayList<>();
        for (RouterId router : registered.keySet()) {
            if (!heardPeers.containsKey(router)
                    && nowNanos - silentSinceNanos.computeIfAbsent(router, id -> nowNanos)
                            >= REGISTRATION_TIMEOUT.toNanos()) {
                expired.add(router);
            }
        }
        boolean first =
                heardPeers.keySet().stream().allMatch(router -> self.id().compareTo(router) < 0);
        return first ? expired : List.of();
    }

    /**
     * Returns the peers that beacons are sent to.
     *
     * @return registered peers and peers with a recent beacon; the same list until they change
     */
    public List<PeerRouter> beaconTargets() {
        if (targets == null) {
            Map<RouterId, PeerRouter> all = new TreeMap<>(registered);
            heardPeers.values().forEach(entry -> all.put(entry.peer.id(), entry.peer));
            targets = List.copyOf(all.values());
        }
        return targets;
    }

    /**
     * Returns the peers with a beacon in the last time, and whether each accepts callers.
     *
     * @param time maximum age of the beacon
     * @param nowNanos current time
     * @return readiness by peer
     */
    public Map<PeerRouter, Boolean> heardWithin(Duration time, long nowNanos) {
        Map<PeerRouter, Boolean> heard = new HashMap<>();
        for (HeardPeer entry : heardPeers.values()) {
            if (nowNanos - entry.atNanos <= time.toNanos()) {
                heard.put(entry.peer, entry.ready);
            }
        }
        return heard;
    }

    /**
     * Returns all routers that may be sending requests to servers, reachable or not.
     *
     * @return identifiers, this router included, in order
     */
    public List<RouterId> members() {
        if (members == null) {
            Set<RouterId> all = new TreeSet<>(registered.keySet());
            all.addAll(heardPeers.keySet());
            all.add(self.id());
            members = List.copyOf(all);
        }
        return members;
    }

    /**
     * Returns the position of this router in an order of all routers that sent a beacon recently.
     *
     * @param salt value that the order depends on; the same at all routers that share a task
     * @return position, from 0; routers that hear each other have different ones
     */
    public int positionAmongHeard(long salt) {
        long own = orderOf(self.id(), salt);
        return (int) heardPeers.keySet().stream()
                .filter(peer -> orderOf(peer, salt) < own)
                .count();
    }

    private static long orderOf(RouterId router, long salt) {
        return HashUtils.mix(HashUtils.hash(router.value()) + salt);
    }

    /**
     * Removes and returns the peers whose last beacon is older than the silence timeout; their registrations stay.
     *
     * @param nowNanos current time
     * @return identifiers of the removed peers
     */
    public List<RouterId> removeSilent(long nowNanos) {
        List<RouterId> silent = new ArrayList<>();
        heardPeers.values().removeIf(entry -> {
            boolean gone = nowNanos - entry.atNanos > silenceTimeout().toNanos();
            if (gone) {
                silent.add(entry.peer.id());
            }
            return gone;
        });
        if (!silent.isEmpty()) {
            members = null;
            targets = null;
        }
        return silent;
    }

    /**
     * Returns the addresses that callers of a zone should use.
     *
     * @param callerZone zone of the caller, or null if unknown
     * @param selfReady true if this router accepts callers
     * @param nowNanos current time
     * @param limit maximum number of addresses
     * @return addresses of the {@linkplain #routersFor routers} for the zone; empty if no router accepts callers
     */
    public List<String> addressesFor(ZoneName callerZone, boolean selfReady, long nowNanos, int limit) {
        return routersFor(callerZone, selfReady, nowNanos).stream()
                .map(PeerRouter::callerAddress)
                .sorted()
                .limit(limit)
                .toList();
    }

    /**
     * Returns the routers that callers of a zone should use.
     *
     * <p>If the caller's zone has at least two ready routers, only those are returned, since cross-zone traffic costs
     * more.
     *
     * @param callerZone zone of the caller, or null if unknown
     * @param selfReady true if this router accepts callers
     * @param nowNanos current time
     * @return routers; empty if none accepts callers
     */
    public List<PeerRouter> routersFor(ZoneName callerZone, boolean selfReady, long nowNanos) {
        List<PeerRouter> ready = new ArrayList<>();
        if (selfReady) {
            ready.add(self);
        }
        for (HeardPeer entry : heardPeers.values()) {
            if (entry.acceptsCallers(silenceTimeout(), nowNanos)) {
                ready.add(entry.peer);
            }
        }
        List<PeerRouter> sameZone =
                ready.stream().filter(peer -> peer.zone().equals(callerZone)).toList();
        return sameZone.size() >= 2 ? sameZone : ready;
    }

    private record HeardPeer(PeerRouter peer, boolean ready, RouterUse use, long atNanos) {

        private boolean acceptsCallers(Duration silenceTimeout, long nowNanos) {
            return ready && nowNanos - atNanos <= silenceTimeout.toNanos();
        }
    }
}
