package org.coltsfootquay.decision.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.peer.PeerRouter;

/**
 * Selects the routers of each availability zone that pass on the updates of the others.
 *
 * <p>Answers the load of a large fleet in which every router sends its updates to every other: the datagrams grow with
 * the square of the number of routers. Rendezvous hashing lets routers select the same relays without an agreement, and
 * a router that leaves changes only the relays of its own zone.
 */
public final class RelaySelector {

    /** Relays of a zone; the second one passes on what the first one has not. */
    public static final int RELAYS_PER_ZONE = 2;

    private RelaySelector() {}

    /**
     * Selects the relays.
     *
     * @param candidates routers heard recently, including the selecting one
     * @return relays by zone, the first one first; at least one for each zone with a candidate. Routers that are not
     *     ready are relays only where too few are
     */
    public static Map<ZoneName, List<PeerRouter>> select(Collection<Candidate> candidates) {
        Map<ZoneName, List<Candidate>> zones = new HashMap<>();
        for (Candidate candidate : candidates) {
            zones.computeIfAbsent(candidate.router().zone(), zone -> new ArrayList<>())
                    .add(candidate);
        }
        Map<ZoneName, List<PeerRouter>> relays = new HashMap<>();
        zones.forEach((zone, routers) -> relays.put(
                zone,
                routers.stream()
                        .sorted(Comparator.comparing((Candidate candidate) -> !candidate.ready())
                                .thenComparing(candidate ->
                                        weight(zone, candidate.router().id()))
                                .thenComparing(candidate -> candidate.router().id()))
                        .limit(RELAYS_PER_ZONE)
                        .map(Candidate::router)
                        .toList()));
        return relays;
    }

    private static long weight(ZoneName zone, RouterId router) {
        return HashUtils.hash(zone.value(), router.value());
    }

    /**
     * Router that can be a relay.
     *
     * @param router router
     * @param ready true if it accepts callers
     */
    public record Candidate(PeerRouter router, boolean ready) {}
}
