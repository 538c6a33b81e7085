package org.coltsfootquay.decision.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Servers that have left a moment ago, or are leaving; not thread-safe.
 *
 * <p>A store that returns from an older copy lists such a server again until the server has repeated its notice or the
 * entry has lapsed. Until then the entry is set aside, unless it is of a later incarnation.
 */
final class DepartureMemory {

    /** Time for which a departure is remembered; the copies from which a store returns are seconds old. */
    private static final Duration MEMORY_TIME = Duration.ofSeconds(60);

    /**
     * Time for which an entry from an older copy is set aside: three heartbeats of 1.2 s, after which the entry of a
     * silent server lapses, and the time for running servers to register again.
     */
    static final Duration HOLD_TIME = Duration.ofMillis(3_600).plus(BackendRegistry.REREGISTRATION_TIME);

    private final Map<ServerName, Departure> recent = new HashMap<>();
    private final Map<ServerName, Long> held = new HashMap<>();
    private final Map<ServerName, BackendEntry> setAside = new HashMap<>();
    private long holdUntilNanos = Long.MIN_VALUE;

    /** Records that an entry was removed. */
    void removed(BackendEntry entry, long nowNanos) {
        recent.values().removeIf(departure -> nowNanos - departure.atNanos > MEMORY_TIME.toNanos());
        recent.put(entry.server(), new Departure(entry.startedMillis(), nowNanos));
    }

    /** Records that the store no longer lists a server. */
    void unlisted(ServerName server) {
        setAside.remove(server);
    }

    /** Records all servers that the store lists. */
    void listed(Set<ServerName> servers) {
        setAside.keySet().retainAll(servers);
    }

    /** Records that a server is in use, whatever was known of it. */
    void used(ServerName server) {
        recent.remove(server);
        held.remove(server);
        setAside.remove(server);
    }

    /**
     * Starts to set aside entries of the servers that have left.
     *
     * @param leaving entries of the servers that are leaving
     * @param nowNanos current time
     */
    void hold(List<BackendEntry> leaving, long nowNanos) {
        recent.forEach((server, departure) -> {
            if (nowNanos - departure.atNanos <= MEMORY_TIME.toNanos()) {
                held.put(server, departure.startedMillis);
            }
        });
        leaving.forEach(entry -> held.put(entry.server(), entry.startedMillis()));
        holdUntilNanos = nowNanos + HOLD_TIME.toNanos();
    }

    /**
     * Sets an entry aside if it contradicts a departure that is held.
     *
     * @param entry entry
     * @param nowNanos current time
     * @return whether the entry must not be used for now
     */
    boolean setAside(BackendEntry entry, long nowNanos) {
        Long departed = nowNanos < holdUntilNanos ? held.get(entry.server()) : null;
        if (departed == null || entry.leaving() || isLater(entry.startedMillis(), departed)) {
            setAside.remove(entry.server());
            return false;
        }
        setAside.put(entry.server(), entry);
        return true;
    }

    /** An entry without a start time may be of the incarnation that has left. */
    private static boolean isLater(long startedMillis, long departedStartedMillis) {
        return startedMillis != 0 && startedMillis > departedStartedMillis;
    }

    /**
     * Ends the hold once its time has passed.
     *
     * @param nowNanos current time
     * @return entries that were set aside and that the store still lists
     */
    List<BackendEntry> takeReleased(long nowNanos) {
        if (held.isEmpty() || nowNanos < holdUntilNanos) {
            return List.of();
        }
        List<BackendEntry> released = new ArrayList<>(setAside.values());
        held.clear();
        setAside.clear();
        return released;
    }

    private record Departure(long startedMillis, long atNanos) {}
}
