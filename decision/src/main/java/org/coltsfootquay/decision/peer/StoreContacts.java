package org.coltsfootquay.decision.peer;

import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.RouterId;

/**
 * Contact of the heard peers with the store; not thread-safe.
 *
 * <p>A router whose calls fail cannot tell whether the store is down or only out of its own reach. Registrations lapse
 * in the first case only, so the peers' contact decides whether a missing registration means that its server has left.
 */
public final class StoreContacts {

    private final Map<RouterId, Boolean> unbroken = new HashMap<>();

    /** Creates a record without peers. */
    public StoreContacts() {
        // Peers are added by their beacons.
    }

    /**
     * Records the contact of a peer.
     *
     * @param peer peer
     * @param contactUnbroken whether no registration can have lapsed without the peer's knowledge
     */
    public void record(RouterId peer, boolean contactUnbroken) {
        unbroken.put(peer, contactUnbroken);
    }

    /**
     * Forgets a peer that is no longer heard.
     *
     * @param peer peer
     */
    public void removePeer(RouterId peer) {
        unbroken.remove(peer);
    }

    /** Forgets all contacts, since none of them has been reported in the current era of the store. */
    public void clear() {
        unbroken.clear();
    }

    /**
     * Returns whether the store is up as far as the peers can tell.
     *
     * @return true if the contact of more than half of the heard peers is unbroken
     */
    public boolean mostAreUnbroken() {
        long count = unbroken.values().stream().filter(value -> value).count();
        return 2 * count > unbroken.size();
    }
}
