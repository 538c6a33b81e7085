package org.coltsfootquay.decision.ownership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.Zone;
import org.coltsfootquay.decision.membership.Member;

/** Ranks the possible owners of a server by rendezvous hashing. */
public final class RendezvousUtils {

    private RendezvousUtils() {}

    /**
     * Returns the preferred owner of a server.
     *
     * @param server server
     * @param configuration configuration
     * @param members members of the fleet
     * @return first element of {@link #ranked}, or empty if no router of the region can own the server
     */
    public static Optional<Member> preferredOwner(
            BackendServer server, FleetConfiguration configuration, Collection<Member> members) {
        return candidates(server, configuration, members).max(preferenceOrder(server, configuration));
    }

    /**
     * Returns the possible owners of a server in order of preference.
     *
     * <p>These are the routers of its region that are not leaving: first those in a zone in service, and within each
     * group first those in the server's zone.
     *
     * @param server server
     * @param configuration configuration
     * @param members members of the fleet
     * @return possible owners, most preferred first
     */
    public static List<Member> ranked(
            BackendServer server, FleetConfiguration configuration, Collection<Member> members) {
        return candidates(server, configuration, members)
                .sorted(preferenceOrder(server, configuration).reversed())
                .toList();
    }

    private static Stream<Member> candidates(
            BackendServer server, FleetConfiguration configuration, Collection<Member> members) {
        Zone zone = configuration.zones().get(server.zone());
        return zone == null
                ? Stream.empty()
                : members.stream()
                        .filter(member -> !member.leaving() && member.region().equals(zone.region()));
    }

    private static Comparator<Member> preferenceOrder(BackendServer server, FleetConfiguration configuration) {
        return Comparator.<Member>comparingInt(member -> configuration.inService(member.zone()) ? 1 : 0)
                .thenComparingInt(member -> member.zone().equals(server.zone()) ? 1 : 0)
                .thenComparingLong(member -> weight(server.name(), member.id()))
                .thenComparing(Member::id);
    }

    private static long weight(ServerName server, RouterId router) {
        return HashUtils.hash(server.value(), router.value());
    }
}
