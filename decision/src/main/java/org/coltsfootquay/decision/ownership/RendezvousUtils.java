package org.coltsfootquay.decision.ownership;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.Zone;
import org.coltsfootquay.decision.membership.Member;

/** Choice of the preferred owner of a server by rendezvous hashing. */
public final class RendezvousUtils {

    private RendezvousUtils() {}

    /**
     * Returns the preferred owner of a server: a running router of the server's zone, else of its region, in a zone in
     * service if there is one.
     *
     * @param server server
     * @param configuration configuration
     * @param members members of the fleet
     * @return preferred owner, or empty when the region has no running router
     */
    public static Optional<Member> preferredOwner(
            BackendServer server, FleetConfiguration configuration, Collection<Member> members) {
        Zone zone = configuration.zones().get(server.zone());
        if (zone == null) {
            return Optional.empty();
        }
        return members.stream()
                .filter(member -> !member.leaving() && member.region().equals(zone.region()))
                .max(Comparator.<Member>comparingInt(member -> configuration.inService(member.zone()) ? 1 : 0)
                        .thenComparingInt(member -> member.zone().equals(server.zone()) ? 1 : 0)
                        .thenComparingLong(member -> weight(server.name(), member.id()))
                        .thenComparing(Member::id));
    }

    private static long weight(ServerName server, RouterId router) {
        return HashUtils.hash(server.value(), router.value());
    }
}
