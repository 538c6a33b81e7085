package org.coltsfootquay.router.neighbor;

import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.coltsfootquay.decision.backend.BackendRegistry;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.peer.StoreContacts;
import org.coltsfootquay.router.log.EventLog;

/**
 * Ends the time for which removed servers are kept once the peers show that the store is up; used on one event loop.
 *
 * <p>A router whose own calls fail keeps removed servers, since their registrations may have lapsed in an outage of the
 * store. If most of its peers reach the store, there is no such outage.
 */
public final class RemovalConfirmation {

    private static final EventLog LOG = EventLog.of(RemovalConfirmation.class);

    private final BackendRegistry registry;
    private final Consumer<ServerName> onRemoved;
    private final LongSupplier ownEra;
    private final StoreContacts contacts = new StoreContacts();
    private long era;

    /**
     * Creates an instance.
     *
     * @param registry registered servers
     * @param onRemoved receives each server that is no longer kept
     * @param ownEra supplies the era of the store in which this router has read the registered servers
     */
    public RemovalConfirmation(BackendRegistry registry, Consumer<ServerName> onRemoved, LongSupplier ownEra) {
        this.ownEra = ownEra;
        this.registry = registry;
        this.onRemoved = onRemoved;
    }

    /**
     * Processes the contact of a peer with the store.
     *
     * @param peer peer
     * @param unbroken whether no registration can have lapsed without the peer's knowledge
     * @param peerEra era of the store in which the peer has read the registered servers; a peer that has not seen the
     *     latest era does not know that registrations were lost
     */
    public void contactReported(RouterId peer, boolean unbroken, long peerEra) {
        if (ownEra.getAsLong() > era) {
            era = ownEra.getAsLong();
            contacts.clear();
        }
        contacts.record(peer, unbroken && peerEra >= era);
        if (contacts.mostAreUnbroken()) {
            Set<ServerName> removed = registry.confirmRemovals();
            if (!removed.isEmpty()) {
                LOG.info("removals_confirmed", "servers", removed);
                removed.forEach(onRemoved);
            }
        }
    }

    /**
     * Forgets a peer that is no longer heard.
     *
     * @param peer peer
     */
    public void peerLost(RouterId peer) {
        contacts.removePeer(peer);
    }
}
