package org.coltsfootquay.decision.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.coltsfootquay.decision.common.ServerName;

/** Owned servers, ordered by utilization; each change takes logarithmic time. */
final class ServerPool {

    private final Map<ServerName, ServerSlots> servers = new LinkedHashMap<>();
    private final TreeSet<ServerSlots> withFreeSlots = new TreeSet<>();
    private int freeSlots;
    private int capacity;
    private int admittingServers;

    ServerSlots get(ServerName name) {
        return servers.get(name);
    }

    Collection<ServerSlots> all() {
        return servers.values();
    }

    void add(ServerSlots slots) {
        servers.put(slots.server.name(), slots);
        update(slots);
    }

    void remove(ServerSlots slots) {
        slots.owned = false;
        servers.remove(slots.server.name());
        withFreeSlots.remove(slots);
        subtractCounts(slots);
    }

    /**
     * Updates the order and the sums after a change of the server's limit, state or number of requests in flight.
     *
     * @param slots server; ignored if it is not in the pool
     */
    void update(ServerSlots slots) {
        if (!slots.owned) {
            return;
        }
        withFreeSlots.remove(slots);
        subtractCounts(slots);
        slots.updatePoolKey();
        slots.countedFree = slots.freeSlots();
        slots.countedCapacity = slots.server.admitsWork() ? slots.capacity() : 0;
        slots.countedAdmitting = slots.server.admitsWork() ? 1 : 0;
        freeSlots += slots.countedFree;
        capacity += slots.countedCapacity;
        admittingServers += slots.countedAdmitting;
        if (slots.countedFree > 0) {
            withFreeSlots.add(slots);
        }
    }

    int freeSlots() {
        return freeSlots;
    }

    int capacity() {
        return capacity;
    }

    int admittingServers() {
        return admittingServers;
    }

    /**
     * Returns the least loaded server with a free slot.
     *
     * @param excluded servers that must not be used
     * @return server, or null if there is none
     */
    ServerSlots leastLoaded(Set<ServerName> excluded) {
        for (ServerSlots slots : withFreeSlots) {
            if (!excluded.contains(slots.server.name())) {
                return slots;
            }
        }
        return null;
    }

    /**
     * Returns whether a server that accepts requests remains after some are excluded.
     *
     * @param excluded servers that must not be used
     * @return true if a request with these exclusions can ever start here
     */
    boolean canServe(Set<ServerName> excluded) {
        int excludedHere = 0;
        for (ServerName name : excluded) {
            ServerSlots slots = servers.get(name);
            if (slots != null && slots.server.admitsWork()) {
                excludedHere++;
            }
        }
        return admittingServers > excludedHere;
    }

    private void subtractCounts(ServerSlots slots) {
        freeSlots -= slots.countedFree;
        capacity -= slots.countedCapacity;
        admittingServers -= slots.countedAdmitting;
        slots.countedFree = 0;
        slots.countedCapacity = 0;
        slots.countedAdmitting = 0;
    }
}
