package org.coltsfootquay.decision.exchange;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.peer.TableState;

/**
 * Peers that have a change of a table which a router that does not watch lacks; not thread-safe.
 *
 * <p>A change reaches all watchers at once. Routers copy it from a peer of their availability zone, each from another
 * one, so that no watcher is asked by the whole fleet.
 */
public final class CopySources {

    private final PeerRouter self;
    private final Map<RouterId, Source> sources = new HashMap<>();

    /**
     * Creates an instance without peers.
     *
     * @param self the router that copies
     */
    public CopySources(PeerRouter self) {
        this.self = self;
    }

    /**
     * Records the state of a peer's copy.
     *
     * @param peer peer
     * @param state state
     */
    public void record(PeerRouter peer, TableState state) {
        sources.put(peer.id(), new Source(peer, state));
    }

    /**
     * Forgets a peer that is no longer heard.
     *
     * @param peer peer
     */
    public void removePeer(RouterId peer) {
        sources.remove(peer);
    }

    /**
     * Selects a peer and forgets those that have nothing new.
     *
     * @param ownRevision revision of the last change that the copy of this router includes
     * @return peer to copy from; empty if none is known to have a later change
     */
    public Optional<Source> select(long ownRevision) {
        sources.values().removeIf(source -> source.state.revision() <= ownRevision);
        return sources.values().stream()
                .max(Comparator.comparing((Source source) -> source.peer.zone().equals(self.zone()))
                        .thenComparing(source -> source.state.revision())
                        .thenComparing(source -> HashUtils.hash(
                                self.id().value(), source.peer.id().value())));
    }

    /**
     * Peer with a later change.
     *
     * @param peer peer
     * @param state state of its copy
     */
    public record Source(PeerRouter peer, TableState state) {}
}
