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
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Routers that are registered and routers that were heard lately; not thread-safe.
 *
 * <p>Callers are sent only to routers that were heard a moment ago, since registrations stay after a router is gone.
 * Limits that all routers share count every registered router, so that they also hold beside a partition.
 */
public final class PeerTable {

    /** Shortest time between two beacons of a router, and time between updates of loads in a large fleet. */
    public static final Duration MIN_PERIOD = Duration.ofMillis(200);

    /** Longest time between two beacons, which bounds how long a dead router gets callers in a large fleet. */
    public static final Duration MAX_PERIOD = Duration.ofSeconds(1);

    /** Routers up to which beacons have the shortest period; a larger fleet sends less often, to bound its cost. */
    private static final int SMALL_FLEET = 16;

    /** Datagrams with updates that a router sends in a second at most; bounds their cost in a very large fleet. */
    private static final int MAX_UPDATES_PER_SECOND = 400;

    /** Periods without a beacon after which a peer gets no callers: four beacons were lost in a row. */
    private static final double SILENT_PERIODS = 4.5;

    /** Time after which the registration of a router that nobody hears is removed; longer than any repair takes. */
    private static final Duration FORGET_AFTER = Duration.ofMinutes(10);

    private final PeerRouter self;
    private final Map<RouterId, PeerRouter> registered = new TreeMap<>();
    private final Map<RouterId, Long> unheardSinceNanos = new HashMap<>();
    private final Map<RouterId, Heard> recordBeacon = new HashMap<>();

    /** All routers that may be sending; null after a change until it is read. */
    private List<RouterId> members;

    /**
     * Creates a table.
     *
     * @param self this router
     */
    public PeerTable(PeerRouter self) {
        this.self = ArgumentUtils.requireValue(self, "self");
    }

    /**
     * Replaces the registrations of the store.
     *
     * @param routers registered routers
     */
    public void replaceRegistrations(Collection<PeerRouter> routers) {
        registered.clear();
        routers.forEach(router -> registered.put(router.id(), router));
        registered.remove(self.id());
        members = null;
    }

    /**
     * Notes a beacon of a peer.
     *
     * @param peer peer
     * @param ready true if it takes callers
     * @param nowNanos current time
     */
    public void recordBeacon(PeerRouter peer, boolean ready, long nowNanos) {
        if (!peer.id().equals(self.id())) {
            if (recordBeacon.put(peer.id(), new Heard(peer, ready, nowNanos)) == null) {
                members = null;
            }
        }
    }

    /**
     * Returns the time between two beacons of one router.
     *
     * @return period, which grows with the number of routers
     */
    public Duration beaconPeriod() {
        long millis = MIN_PERIOD.toMillis() * members().size() / SMALL_FLEET;
        return Duration.ofMillis(Math.min(MAX_PERIOD.toMillis(), Math.max(MIN_PERIOD.toMillis(), millis)));
    }

    /**
     * Returns the time between two updates of loads by one router.
     *
     * @return period, zero while beacons are as frequent as updates would be
     */
    public Duration updatePeriod() {
        if (beaconPeriod().compareTo(MIN_PERIOD) <= 0) {
            return Duration.ZERO;
        }
        long millis = Duration.ofSeconds(members().size()).toMillis() / MAX_UPDATES_PER_SECOND;
        return Duration.ofMillis(Math.max(MIN_PERIOD.toMillis(), millis));
    }

    /**
     * Returns the time after which a peer that was not heard gets no callers.
     *
     * @return time
     */
    public Duration silenceTimeout() {
        return Duration.ofMillis((long) (beaconPeriod().toMillis() * SILENT_PERIODS));
    }

    /**
     * Returns the registered routers that were not heard for long, if this router is the one to remove them.
     *
     * @param nowNanos current time
     * @return routers to remove from the store; empty unless this router is the first of those that are heard
     */
    public List<RouterId> expiredRegistrations(long nowNanos) {
        unheardSinceNanos.keySet().retainAll(registered.keySet());
        unheardSinceNanos.keySet().removeAll(recordBeacon.keySet());
        List<RouterId> abandoned = new ArrayList<>();
        for (RouterId router : registered.keySet()) {
            if (!recordBeacon.containsKey(router)
                    && nowNanos - unheardSinceNanos.computeIfAbsent(router, id -> nowNanos) >= FORGET_AFTER.toNanos()) {
                abandoned.add(router);
            }
        }
        boolean first = recordBeacon.keySet().stream().allMatch(router -> self.id().compareTo(router) < 0);
        return first ? abandoned : List.of();
    }

    /**
     * Returns the peers that beacons are sent to.
     *
     * @return registered and heard peers
     */
    public List<PeerRouter> beaconTargets() {
        Map<RouterId, PeerRouter> targets = new TreeMap<>(registered);
        recordBeacon.values().forEach(entry -> targets.put(entry.peer.id(), entry.peer));
        return List.copyOf(targets.values());
    }

    /**
     * Returns all routers that may be sending, reachable or not.
     *
     * @return identifiers, this router included, in order
     */
    public List<RouterId> members() {
        if (members == null) {
            Set<RouterId> all = new TreeSet<>(registered.keySet());
            all.addAll(recordBeacon.keySet());
            all.add(self.id());
            members = List.copyOf(all);
        }
        return members;
    }

    /**
     * Returns the peers that fell silent, and forgets them unless they are registered.
     *
     * @param nowNanos current time
     * @return identifiers
     */
    public List<RouterId> removeSilent(long nowNanos) {
        List<RouterId> silent = new ArrayList<>();
        recordBeacon.values().removeIf(entry -> {
            boolean gone = nowNanos - entry.atNanos > silenceTimeout().toNanos();
            if (gone) {
                silent.add(entry.peer.id());
            }
            return gone;
        });
        if (!silent.isEmpty()) {
            members = null;
        }
        return silent;
    }

    /**
     * Returns the addresses that callers of a zone should use.
     *
     * <p>Routers of the caller's zone come alone if there are at least two, since traffic between zones costs more.
     *
     * @param callerZone zone of the caller, or null if unknown
     * @param selfReady true if this router takes callers
     * @param nowNanos current time
     * @param limit largest number of addresses
     * @return addresses; empty if no router takes callers
     */
    public List<String> addressesFor(ZoneName callerZone, boolean selfReady, long nowNanos, int limit) {
        List<PeerRouter> ready = new ArrayList<>();
        if (selfReady) {
            ready.add(self);
        }
        for (Heard entry : recordBeacon.values()) {
            if (entry.ready && nowNanos - entry.atNanos <= silenceTimeout().toNanos()) {
                ready.add(entry.peer);
            }
        }
        List<PeerRouter> near =
                ready.stream().filter(peer -> peer.zone().equals(callerZone)).toList();
        return (near.size() >= 2 ? near : ready)
                .stream().map(PeerRouter::callerAddress).sorted().limit(limit).toList();
    }

    private record Heard(PeerRouter peer, boolean ready, long atNanos) {}
}
