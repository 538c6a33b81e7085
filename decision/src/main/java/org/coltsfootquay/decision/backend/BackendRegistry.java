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
 * <p>Not thread-safe. Entries expire during a store outage although their servers are running; such an entry is kept
 * until servers have had time to register again. Any other removal takes effect at once, since a leaving server must
 * get no new work. A router whose own calls fail cannot tell the two apart; its peers can.
 */
public final class BackendRegistry {

    /** Time for running servers to register again after a store outage; source: the operator's requirement. */
    public static final Duration REREGISTRATION_TIME = Duration.ofSeconds(2);

    /** Shorter outages expire no entry, since servers refresh theirs often enough; source: heartbeat of 1.2 s. */
    private static final Duration MIN_OUTAGE = Duration.ofSeconds(1);

    private final Map<ServerName, TrackedEntry> tracked = new HashMap<>();
    private final DepartureMemory departures = new DepartureMemory();
    private Set<ZoneName> evacuatedZones = Set.of();
    private boolean storeUnreachable;
    private long storeUnreachableSinceNanos;
    private long graceUntilNanos = Long.MIN_VALUE;
    private boolean anyExpired;
    private boolean loaded;
    private long loadedNanos;

    /** Creates an empty registry. */
    public BackendRegistry() {
        // Entries are added with the first read of the store.
    }

    /**
     * Records that the store does not answer.
     *
     * @param nowNanos current time
     */
    public void recordStoreUnreachable(long nowNanos) {
        if (!storeUnreachable) {
            storeUnreachable = true;
            storeUnreachableSinceNanos = nowNanos;
        }
    }

    /**
     * Records that the store answers again.
     *
     * @param nowNanos current time
     */
    public void recordStoreReachable(long nowNanos) {
        if (storeUnreachable && nowNanos - storeUnreachableSinceNanos >= MIN_OUTAGE.toNanos()) {
            graceUntilNanos = nowNanos + REREGISTRATION_TIME.toNanos();
        }
        storeUnreachable = false;
    }

    /**
     * Records that the store has returned from an older copy. Entries that the copy lacks are kept until servers have
     * had time to register again, and servers that have left stay out of use while the copy still lists them.
     *
     * @param nowNanos current time
     */
    public void recordStoreRestored(long nowNanos) {
        graceUntilNanos = nowNanos + REREGISTRATION_TIME.toNanos();
        departures.hold(
                tracked.values().stream()
                        .filter(tracked -> tracked.expired || tracked.entry.leaving())
                        .map(tracked -> tracked.entry)
                        .toList(),
                nowNanos);
    }

    /**
     * Adds or replaces the entry of a server. An entry without a start time belongs to the incarnation that is known.
     *
     * @param newEntry entry
     * @param nowNanos current time
     * @return true if the entry is new or its server has restarted
     */
    public boolean put(BackendEntry newEntry, long nowNanos) {
        TrackedEntry previous = tracked.get(newEntry.server());
        boolean startKnown = newEntry.startedMillis() != 0 || previous == null;
        BackendEntry entry = startKnown ? newEntry : newEntry.startedAt(previous.entry.startedMillis());
        if (previous != null && entry.startedMillis() < previous.entry.startedMillis()) {
            // Written before the server restarted, and delivered late.
            return false;
        }
        if (departures.setAside(entry, nowNanos)) {
            return false;
        }
        if (!entry.leaving()) {
            departures.used(entry.server());
        }
        boolean unchanged = previous != null && previous.entry.equals(entry);
        long coldUntil = unchanged
                ? previous.coldUntilNanos
                : nowNanos + entry.remainingColdTime().toNanos();
        tracked.put(entry.server(), new TrackedEntry(entry, coldUntil));
        return previous == null || previous.entry.startedMillis() != entry.startedMillis();
    }

    /**
     * Removes the entry of a server. If the store has been unreachable, the removal is delayed until it is confirmed or
     * the grace period has passed.
     *
     * @param server server
     * @param nowNanos current time
     */
    public void remove(ServerName server, long nowNanos) {
        departures.unlisted(server);
        TrackedEntry entry = tracked.get(server);
        if (entry == null) {
            return;
        }
        if (storeUnreachable || nowNanos < graceUntilNanos) {
            entry.expired = true;
            entry.expiredNanos = nowNanos;
            anyExpired = true;
        } else {
            tracked.remove(server);
            departures.removed(entry.entry, nowNanos);
        }
    }

    /**
     * Ends the delay of all removals, since other routers have reached the store all the time.
     *
     * @return servers whose entries were removed
     */
    public Set<ServerName> confirmRemovals() {
        if (!anyExpired) {
            return Set.of();
        }
        Set<ServerName> removed = kept();
        removed.forEach(server -> departed(tracked.remove(server)));
        anyExpired = false;
        return removed;
    }

    /**
     * Returns whether this router has reached the store for so long that no missing entry has expired in an outage.
     *
     * @param nowNanos current time
     * @return false until the store was read, while it is unreachable and until servers have had time to register again
     */
    public boolean contactUnbroken(long nowNanos) {
        return loaded
                && !storeUnreachable
                && nowNanos >= graceUntilNanos
                && nowNanos - loadedNanos >= REREGISTRATION_TIME.toNanos();
    }

    /**
     * Replaces all entries with those of a full read.
     *
     * @param entries all entries of the store
     * @param nowNanos current time
     */
    public void replaceAll(Collection<BackendEntry> entries, long nowNanos) {
        if (!loaded) {
            loaded = true;
            loadedNanos = nowNanos;
        }
        Set<ServerName> present = new HashSet<>();
        for (BackendEntry entry : entries) {
            present.add(entry.server());
            put(entry, nowNanos);
        }
        departures.listed(present);
        for (ServerName server : List.copyOf(tracked.keySet())) {
            if (!present.contains(server)) {
                remove(server, nowNanos);
            }
        }
    }

    /**
     * Sets the zones that must get no new work.
     *
     * @param zones evacuated zones
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
        removeExpired(nowNanos);
        List<BackendEntry> eligible = new ArrayList<>();
        for (TrackedEntry entry : tracked.values()) {
            if (entry.entry.service().equals(service) && acceptsWork(entry.entry)) {
                eligible.add(entry.entry);
            }
        }
        return eligible;
    }

    /**
     * Returns the entry of a server if the server may get new work.
     *
     * @param server server
     * @param nowNanos current time
     * @return entry, or empty if the server is unknown or must get no new work
     */
    public Optional<BackendEntry> eligible(ServerName server, long nowNanos) {
        removeExpired(nowNanos);
        return Optional.ofNullable(tracked.get(server))
                .map(entry -> entry.entry)
                .filter(this::acceptsWork);
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
     * Returns the servers whose entries were removed from the store and are kept for a while.
     *
     * @return servers
     */
    public Set<ServerName> kept() {
        Set<ServerName> kept = new HashSet<>();
        tracked.forEach((server, entry) -> {
            if (entry.expired) {
                kept.add(server);
            }
        });
        return kept;
    }

    /**
     * Returns the time until which a server is cold according to its entry.
     *
     * @param server server
     * @return time in nanoseconds, {@link Long#MIN_VALUE} for an unknown server
     */
    public long coldUntilNanos(ServerName server) {
        TrackedEntry entry = tracked.get(server);
        return entry == null ? Long.MIN_VALUE : entry.coldUntilNanos;
    }

    private boolean acceptsWork(BackendEntry entry) {
        return !entry.leaving() && !evacuatedZones.contains(entry.zone());
    }

    private void departed(TrackedEntry expired) {
        departures.removed(expired.entry, expired.expiredNanos);
    }

    private void removeExpired(long nowNanos) {
        departures.takeReleased(nowNanos).forEach(entry -> put(entry, nowNanos));
        if (!anyExpired || storeUnreachable || nowNanos < graceUntilNanos) {
            return;
        }
        anyExpired = false;
        Iterator<TrackedEntry> entries = tracked.values().iterator();
        while (entries.hasNext()) {
            TrackedEntry entry = entries.next();
            if (entry.expired) {
                entries.remove();
                departed(entry);
            }
        }
    }

    private static final class TrackedEntry {

        private final BackendEntry entry;
        private final long coldUntilNanos;
        private boolean expired;
        private long expiredNanos;

        private TrackedEntry(BackendEntry entry, long coldUntilNanos) {
            this.entry = entry;
            this.coldUntilNanos = coldUntilNanos;
        }
    }
}
