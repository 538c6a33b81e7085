package org.coltsfootquay.decision.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Backend servers that are registered in the store.
 *
 * <p>Not thread-safe. Entries lapse while the store is away, although their servers live; such an entry is kept until
 * servers have had time to register again. Any other removal holds at once, since a server that leaves must get no new
 * work.
 */
public final class BackendRegistry {

    /** Time in which living servers register again after an outage of the store; source: the operator's requirement. */
    public static final Duration REREGISTRATION_TIME = Duration.ofSeconds(2);

    /** Shorter interruptions lapse no entry, since a server writes at least as often; source: heartbeat of 1.2 s. */
    private static final Duration SHORTEST_OUTAGE = Duration.ofSeconds(1);

    private final Map<ServerName, Tracked> tracked = new HashMap<>();
    private Set<ZoneName> evacuatedZones = Set.of();
    private boolean storeAway;
    private long storeAwaySinceNanos;
    private long graceUntilNanos = Long.MIN_VALUE;
    private boolean anyLapsed;

    /** Creates an empty registry. */
    public BackendRegistry() {
        // Entries arrive with the first read of the store.
    }

    /**
     * Notes that the store does not answer.
     *
     * @param nowNanos current time
     */
    public void recordStoreUnreachable(long nowNanos) {
        if (!storeAway) {
            storeAway = true;
            storeAwaySinceNanos = nowNanos;
        }
    }

    /**
     * Notes that the store answers again.
     *
     * @param nowNanos current time
     */
    public void recordStoreReachable(long nowNanos) {
        if (storeAway && nowNanos - storeAwaySinceNanos >= SHORTEST_OUTAGE.toNanos()) {
            graceUntilNanos = nowNanos + REREGISTRATION_TIME.toNanos();
        }
        storeAway = false;
    }

    /**
     * Sets an entry.
     *
     * @param entry entry
     * @param nowNanos current time
     * @return true if the entry is new or its server has started again
     */
    public boolean put(BackendEntry entry, long nowNanos) {
        Tracked before = tracked.get(entry.server());
        if (before != null && entry.startedMillis() < before.entry.startedMillis()) {
            // Written by an earlier life of the server and delivered late.
            return false;
        }
        long coldUntil = nowNanos + entry.remainingColdTime().toNanos();
        tracked.put(entry.server(), new Tracked(entry, coldUntil));
        return before == null || before.entry.startedMillis() != entry.startedMillis();
    }

    /**
     * Removes the entry of a server.
     *
     * @param server server
     * @param nowNanos current time
     */
    public void remove(ServerName server, long nowNanos) {
        Tracked entry = tracked.get(server);
        if (entry == null) {
            return;
        }
        if (storeAway || nowNanos < graceUntilNanos) {
            entry.lapsed = true;
            anyLapsed = true;
        } else {
            tracked.remove(server);
        }
    }

    /**
     * Replaces all entries by those of a full read.
     *
     * @param entries all entries of the store
     * @param nowNanos current time
     */
    public void replaceAll(Collection<BackendEntry> entries, long nowNanos) {
        Set<ServerName> present = new HashSet<>();
        for (BackendEntry entry : entries) {
            present.add(entry.server());
            put(entry, nowNanos);
        }
        for (ServerName server : List.copyOf(tracked.keySet())) {
            if (!present.contains(server)) {
                remove(server, nowNanos);
            }
        }
    }

    /**
     * Sets the zones that are to get no new work.
     *
     * @param zones zones
     */
    public void setEvacuatedZones(Set<ZoneName> zones) {
        evacuatedZones = Set.copyOf(zones);
    }

    /**
     * Returns the servers of a service that may get new work.
     *
     * @param service service
     * @param nowNanos current time
     * @return entries in no particular order
     */
    public List<BackendEntry> eligible(ServiceName service, long nowNanos) {
        dropLapsed(nowNanos);
        List<BackendEntry> usable = new ArrayList<>();
        for (Tracked entry : tracked.values()) {
            if (entry.entry.service().equals(service) && mayGetWork(entry.entry)) {
                usable.add(entry.entry);
            }
        }
        return usable;
    }

    /**
     * Tells whether a server may get new work.
     *
     * @param server server
     * @param nowNanos current time
     * @return its entry if it may
     */
    public Optional<BackendEntry> eligible(ServerName server, long nowNanos) {
        dropLapsed(nowNanos);
        return Optional.ofNullable(tracked.get(server))
                .map(entry -> entry.entry)
                .filter(this::mayGetWork);
    }

    /**
     * Returns all registered servers.
     *
     * @return servers
     */
    public Set<ServerName> servers() {
        return Set.copyOf(tracked.keySet());
    }

    /**
     * Returns when a server stops being cold by its own account.
     *
     * @param server server
     * @return time in nanoseconds, {@link Long#MIN_VALUE} for an unknown server
     */
    public long coldUntilNanos(ServerName server) {
        Tracked entry = tracked.get(server);
        return entry == null ? Long.MIN_VALUE : entry.coldUntilNanos;
    }

    private boolean mayGetWork(BackendEntry entry) {
        return !entry.leaving() && !evacuatedZones.contains(entry.zone());
    }

    private void dropLapsed(long nowNanos) {
        if (!anyLapsed || storeAway || nowNanos < graceUntilNanos) {
            return;
        }
        anyLapsed = false;
        Iterator<Tracked> entries = tracked.values().iterator();
        while (entries.hasNext()) {
            if (entries.next().lapsed) {
                entries.remove();
            }
        }
    }

    private static final class Tracked {

        private final BackendEntry entry;
        private final long coldUntilNanos;
        private boolean lapsed;

        private Tracked(BackendEntry entry, long coldUntilNanos) {
            this.entry = entry;
            this.coldUntilNanos = coldUntilNanos;
        }
    }
}
