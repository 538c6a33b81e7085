package org.coltsfootquay.decision.spread;

import java.util.List;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.peer.PeerTable;

/** Answers callers that ask for the addresses of routers; not thread-safe. */
public final class CallerDirectory {

    private final PeerTable peers;
    private final SpreadSettings settings;
    private final RouterWeights weights = new RouterWeights();

    /**
     * Creates a directory.
     *
     * @param peers routers and what they report
     * @param settings settings
     */
    public CallerDirectory(PeerTable peers, SpreadSettings settings) {
        this.peers = ArgumentUtils.requireValue(peers, "peers");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
    }

    /**
     * Returns the addresses that a caller should use.
     *
     * @param caller IP address of the caller
     * @param callerZone zone of the caller, or null if unknown
     * @param selfReady true if this router accepts callers
     * @param nowNanos current time
     * @param limit maximum number of addresses
     * @return addresses in order; empty if no router accepts callers
     */
    public List<String> addressesFor(String caller, ZoneName callerZone, boolean selfReady, long nowNanos, int limit) {
        if (settings.subsetSize() == 0) {
            return peers.addressesFor(callerZone, selfReady, nowNanos, limit);
        }
        return new AddressSubset(Math.min(limit, settings.subsetSize()))
                .choose(caller, peers.routersFor(callerZone, selfReady, nowNanos), weights::weight).stream()
                        .map(PeerRouter::callerAddress)
                        .sorted()
                        .toList();
    }

    /**
     * Adjusts the weights of routers to their use; to be called once per {@link RouterWeights#INTERVAL}.
     *
     * @param selfReady true if this router accepts callers
     * @param nowNanos current time
     * @return routers whose weight was changed; empty unless routers are named by use
     */
    public List<RouterId> adjustWeights(boolean selfReady, long nowNanos) {
        return settings.byUse() ? weights.adjust(peers.useReports(selfReady, nowNanos), nowNanos) : List.of();
    }

    /**
     * Returns the weights of routers.
     *
     * @return weights
     */
    public RouterWeights weights() {
        return weights;
    }
}
