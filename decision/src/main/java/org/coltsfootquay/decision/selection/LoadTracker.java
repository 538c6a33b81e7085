package org.coltsfootquay.decision.selection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Load of backend servers: what this router has sent, and what its peers say they have sent.
 *
 * <p>Not thread-safe. A peer's report replaces its previous one; it is dropped when the peer falls silent, since its
 * requests then end or break.
 */
public final class LoadTracker {

    private final Map<ServerName, ServerLoad> localLoad = new HashMap<>();
    private final Set<ServerName> changed = new HashSet<>();
    private final Map<RouterId, Map<ServerName, ServerLoad>> peers = new HashMap<>();

    /** Sums over all routers, kept up to date since each request reads those of all servers. */
    private final Map<ServerName, ServerLoad> totals = new HashMap<>();

    /** Creates an empty board. */
    public LoadTracker() {
        // Loads appear with the first request or report.
    }

    /**
     * Adds work that this router starts, or takes off work that has ended.
     *
     * @param server server
     * @param change change, with negative values for work that ended
     */
    public void addLocal(ServerName server, ServerLoad change) {
        add(localLoad, server, change);
        add(totals, server, change);
        changed.add(server);
    }

    /**
     * Replaces what a peer has sent.
     *
     * @param peer peer
     * @param loads loads by server
     */
    public void replacePeerReport(RouterId peer, Map<ServerName, ServerLoad> loads) {
        removePeer(peer);
        updatePeerLoads(peer, loads);
    }

    /**
     * Replaces what a peer has sent to some servers.
     *
     * @param peer peer
     * @param loads new loads of these servers, {@link ServerLoad#NONE} included
     */
    public void updatePeerLoads(RouterId peer, Map<ServerName, ServerLoad> loads) {
        Map<ServerName, ServerLoad> report = peers.computeIfAbsent(peer, router -> new HashMap<>());
        loads.forEach((server, load) -> {
            ServerLoad before = load.equals(ServerLoad.NONE) ? report.remove(server) : report.put(server, load);
            add(totals, server, load);
            if (before != null) {
                add(totals, server, before.negated());
            }
        });
    }

    /**
     * Drops the report of a peer.
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
     * Returns what this router has sent.
     *
     * @return loads by server, ordered by name
     */
    public Map<ServerName, ServerLoad> localLoad() {
        return new TreeMap<>(localLoad);
    }

    /**
     * Returns the servers whose load by this router has changed since the last call, with what it has sent to them now.
     *
     * @return loads by server, {@link ServerLoad#NONE} included
     */
    public Map<ServerName, ServerLoad> takeChanged() {
        Map<ServerName, ServerLoad> loads = new TreeMap<>();
        changed.forEach(server -> loads.put(server, localLoad(server)));
        changed.clear();
        return loads;
    }

    /**
     * Returns what this router has sent to a server.
     *
     * @param server server
     * @return load
     */
    public ServerLoad localLoad(ServerName server) {
        return localLoad.getOrDefault(server, ServerLoad.NONE);
    }

    /**
     * Returns the load from all routers.
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
