package org.coltsfootquay.decision.ownership;

import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.blackboard.Topic;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Owners of all backend servers as last read from the store.
 *
 * @param owners owner by server; a server without a valid owner is absent
 * @param ownersByService routers that own at least one server of the service that admits work, ordered by identifier
 */
public record OwnerMap(Map<ServerName, Owner> owners, Map<ServiceName, List<RouterId>> ownersByService) {

    /** Topic written by the ownership controller and read by placement. */
    public static final Topic<OwnerMap> TOPIC = new Topic<>("owner-map", new OwnerMap(Map.of(), Map.of()));

    /** Copies the maps. */
    public OwnerMap {
        owners = Map.copyOf(owners);
        ownersByService = Map.copyOf(ownersByService);
    }

    /**
     * Owner of one server.
     *
     * @param router owning router
     * @param incarnation incarnation of the router that the ownership belongs to
     * @param fencingNumber fencing number
     */
    public record Owner(RouterId router, long incarnation, long fencingNumber) {}
}
