package org.coltsfootquay.decision.ownership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MembershipView;

/** Derivation of the owner map from rows, configuration and members. */
final class OwnerMapUtils {

    private OwnerMapUtils() {}

    /** Returns the servers whose row names the present incarnation of a member. */
    static OwnerMap ownerMap(ServerRows rows, FleetConfiguration configuration, MembershipView view) {
        Map<ServerName, OwnerMap.Owner> owners = new HashMap<>();
        Map<ServiceName, TreeSet<RouterId>> byService = new HashMap<>();
        rows.entries().forEach((name, entry) -> {
            ServerRow content = entry.content();
            Member holder = content.holder().map(view.members()::get).orElse(null);
            if (holder == null || holder.incarnation() != content.incarnation()) {
                return;
            }
            owners.put(name, new OwnerMap.Owner(holder.id(), content.incarnation(), content.fencingNumber()));
            BackendServer server = configuration.servers().get(name);
            if (server != null && configuration.admitsWork(name)) {
                byService
                        .computeIfAbsent(server.service(), service -> new TreeSet<>())
                        .add(holder.id());
            }
        });
        Map<ServiceName, List<RouterId>> ownersByService = new HashMap<>();
        byService.forEach((service, routers) -> ownersByService.put(service, List.copyOf(routers)));
        return new OwnerMap(owners, ownersByService);
    }
}
