package org.coltsfootquay.decision.exchange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.peer.PeerRouter;

/**
 * Decides which routers watch the tables of the store for the others.
 *
 * <p>Answers the load of a large fleet on the store: each change completes the watches of all routers, so calls grow
 * with both numbers. The other routers learn of changes from the beacons of the watchers and copy the rows. Routers
 * that hear the same beacons select the same watchers; one that hears few others watches itself.
 */
public final class WatchDuty {

    private static final int WATCHERS_PER_ZONE = 2;

    /** Minimum number of watchers in a fleet with one zone; some may be turned away by the store at the same time. */
    private static final int MIN_WATCHERS = 4;

    private static final Comparator<PeerRouter> RANK =
            Comparator.comparing(WatchDuty::weight).thenComparing(PeerRouter::id);

    private WatchDuty() {}

    /**
     * Returns whether a router has to watch.
     *
     * @param self the router
     * @param heard peers with a recent beacon; true for those in unbroken contact with the store
     * @param members number of routers that are registered or heard
     * @return true if it has to watch; always if it hears less than half of the fleet
     */
    public static boolean isWatcher(PeerRouter self, Map<PeerRouter, Boolean> heard, int members) {
        if (2 * (heard.size() + 1) <= members) {
            return true;
        }
        List<PeerRouter> candidates = new ArrayList<>();
        candidates.add(self);
        heard.forEach((peer, contact) -> {
            if (contact) {
                candidates.add(peer);
            }
        });
        candidates.sort(RANK);
        Map<ZoneName, Integer> watchers = new HashMap<>();
        Set<RouterId> selected = new HashSet<>();
        for (PeerRouter candidate : candidates) {
            if (watchers.merge(candidate.zone(), 1, Integer::sum) <= WATCHERS_PER_ZONE) {
                selected.add(candidate.id());
            }
        }
        for (PeerRouter candidate : candidates) {
            if (selected.size() < MIN_WATCHERS) {
                selected.add(candidate.id());
            }
        }
        return selected.contains(self.id());
    }

    private static long weight(PeerRouter router) {
        return HashUtils.hash("watch", router.id().value());
    }
}
