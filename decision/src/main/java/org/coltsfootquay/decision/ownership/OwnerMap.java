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
 * @param owners owners by server; servers without a valid owner are absent
 * @param ownersByService routers that own at least one work-admitting server of the service, ordered by identifier
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
     * @param incarnation incarnation of the router that holds the ownership
     * @param fencingNumber fencing number
     */
    public record Owner(RouterId router, long incarnation, long fencingNumber) {}
}
