package org.coltsfootquay.decision.selection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Tracks the load of backend servers: the requests in flight from this router and those that its peers report.
 *
 * <p>Not thread-safe. A peer's report replaces its previous one. It is removed when the peer stops sending beacons,
 * since the requests of a dead router end or break.
 */
public final class LoadTracker {

    private final Map<ServerName, ServerLoad> localLoads = new HashMap<>();
    private final Set<ServerName> changed = new HashSet<>();
    private final Map<RouterId, Map<ServerName, ServerLoad>> peers = new HashMap<>();

    /** Sums over all routers, updated with each change because every request reads the sums of all servers. */
    private final Map<ServerName, ServerLoad> totals = new HashMap<>();

    /** Creates a tracker without loads. */
    public LoadTracker() {
        // Loads appear with the first request or report.
    }

    /**
     * Adds a change of the load from this router.
     *
     * @param server server
     * @param change added work; negative values for work that has ended
     */
    public void addLocal(ServerName server, ServerLoad change) {
        add(localLoads, server, change);
        add(totals, server, change);
        changed.add(server);
    }

    /**
     * Replaces the whole load report of a peer.
     *
     * @param peer peer
     * @param loads loads by server
     */
    public void replacePeerReport(RouterId peer, Map<ServerName, ServerLoad> loads) {
        removePeer(peer);
        updatePeerLoads(peer, loads);
    }

    /**
     * Replaces the load that a peer reports for some servers; its other servers keep theirs.
     *
     * @param peer peer
     * @param loads new loads of these servers; {@link ServerLoad#NONE} where the peer has no work left
     */
    public void updatePeerLoads(RouterId peer, Map<ServerName, ServerLoad> loads) {
        Map<ServerName, ServerLoad> report = peers.computeIfAbsent(peer, router -> new HashMap<>());
        loads.forEach((server, load) -> {
            ServerLoad previous = load.equals(ServerLoad.NONE) ? report.remove(server) : report.put(server, load);
            add(totals, server, load);
            if (previous != null) {
                add(totals, server, previous.negated());
            }
        });
    }

    /**
     * Removes the load report of a peer.
     *
     * @param peer peer
     */
    public void removePeer(RouterId peer) {
        Map<ServerName, ServerLoad> report = peers.remove(peer);
        if (report != null) {
            report.forEach((server, load) -> add(totals, server, load.negated()));
        }
    }

    /**
     * Returns the load from this router.
     *
     * @return loads by server, ordered by name
     */
    public Map<ServerName, ServerLoad> localLoad() {
        return new TreeMap<>(localLoads);
    }

    /**
     * Returns the servers whose load from this router has changed since the last call, with their current load.
     *
     * @return loads by server; {@link ServerLoad#NONE} where no work is left
     */
    public Map<ServerName, ServerLoad> takeChanged() {
        Map<ServerName, ServerLoad> loads = new TreeMap<>();
        changed.forEach(server -> loads.put(server, localLoad(server)));
        changed.clear();
        return loads;
    }

    /**
     * Returns the load from this router on a server.
     *
     * @param server server
     * @return load
     */
    public ServerLoad localLoad(ServerName server) {
        return localLoads.getOrDefault(server, ServerLoad.NONE);
    }

    /**
     * Returns the load from all routers on a server.
     *
     * @param server server
     * @return load
     */
    public ServerLoad totalLoad(ServerName server) {
        return totals.getOrDefault(server, ServerLoad.NONE);
    }

    private static void add(Map<ServerName, ServerLoad> loads, ServerName server, ServerLoad change) {
        ServerLoad sum = loads.getOrDefault(server, ServerLoad.NONE).plus(change);
        if (sum.equals(ServerLoad.NONE)) {
            loads.remove(server);
        } else {
            loads.put(server, sum);
        }
    }
}
