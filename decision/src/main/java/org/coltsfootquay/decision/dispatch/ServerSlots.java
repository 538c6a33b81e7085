package org.coltsfootquay.decision.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;
import org.coltsfootquay.decision.limit.ConcurrencyLimit;
import org.coltsfootquay.decision.ownership.OwnedServer;

/** Owned server with its limit and the requests in flight on it. */
final class ServerSlots implements Comparable<ServerSlots> {

    final ConcurrencyLimit limit;
    OwnedServer server;
    boolean owned = true;

    /** Whether the share fell during this ownership: the lease lapsed, so the remainder is the next claimant's. */
    private boolean shareReduced;

    int inFlight;

    /** Requests in flight that are being cancelled for reserved capacity. */
    int preempting;

    /** Requests whose entry router was lost. */
    final Set<GrantedAttempt> orphans = new LinkedHashSet<>();

    /** Key of the present position in the pool; changes only while the server is out of the pool. */
    private double poolKey;

    /** What the sums of the pool contain for this server. */
    int countedFree;

    int countedCapacity;
    int countedAdmitting;

    ServerSlots(OwnedServer server, ConcurrencyLimit limit) {
        this.server = server;
        this.limit = limit;
    }

    /**
     * Returns the number of requests that may be in flight, by the share rule of ownership.
     *
     * <p>A claimant after a lapse (its ownership is fresh) takes the remainder, so that both parts add up to the limit.
     *
     * @return requests
     */
    int capacity() {
        int full = limit.limit();
        if (server.share() >= 1) {
            return full;
        }
        return server.stateUnknown() && !shareReduced
                ? full - (int) Math.floor(full * (1 - server.share()))
                : (int) Math.floor(full * server.share());
    }

    /** Takes over a new state of the ownership. */
    void updateOwnership(OwnedServer renewed) {
        if (renewed.fencingNumber() != server.fencingNumber() || renewed.share() > server.share()) {
            shareReduced = false;
        } else if (renewed.share() < server.share()) {
            shareReduced = true;
        }
        server = renewed;
    }

    int freeSlots() {
        return owned && server.admitsWork() ? Math.max(0, capacity() - inFlight) : 0;
    }

    ServerState state() {
        return new ServerState(server.name(), inFlight, capacity(), limit.isRamping(), server.admitsWork());
    }

    void updatePoolKey() {
        int capacity = capacity();
        poolKey = capacity == 0 ? Double.MAX_VALUE : (double) inFlight / capacity;
    }

    @Override
    public int compareTo(ServerSlots other) {
        int byLoad = Double.compare(poolKey, other.poolKey);
        return byLoad != 0
                ? byLoad
                : server.name().value().compareTo(other.server.name().value());
    }
}
