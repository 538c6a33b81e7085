package org.coltsfootquay.decision.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;
import org.coltsfootquay.decision.limit.ConcurrencyLimit;
import org.coltsfootquay.decision.ownership.OwnedServer;

/** Owned server with its concurrency limit and its requests in flight. */
final class ServerSlots implements Comparable<ServerSlots> {

    final ConcurrencyLimit limit;
    OwnedServer server;
    boolean owned = true;

    /**
     * Whether the share was reduced during this ownership because the lease lapsed; the remainder of the limit then
     * belongs to the next claimant.
     */
    private boolean shareReduced;

    int inFlight;

    /** Number of requests in flight that are being cancelled for reserved capacity. */
    int preempting;

    /** Requests whose entry router was lost. */
    final Set<GrantedAttempt> orphans = new LinkedHashSet<>();

    /** Sort key in the pool; changes only while the server is not in the pool's sorted set. */
    private double poolKey;

    /** Contributions of this server to the pool's sums. */
    int countedFree;

    int countedCapacity;
    int countedAdmitting;

    ServerSlots(OwnedServer server, ConcurrencyLimit limit) {
        this.server = server;
        this.limit = limit;
    }

    /**
     * Returns the number of requests that may be in flight under the share of the limit that this ownership confers.
     *
     * <p>The share of the previous holder is rounded down. A claimant after a lapse (whose ownership began with
     * {@link OwnedServer#stateUnknown()}) gets the remainder, so that both parts add up to the limit.
     *
     * @return number of requests
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

    /** Applies a new state of the ownership. */
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
