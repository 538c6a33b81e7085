package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Router as a member of the fleet.
 *
 * @param id identifier
 * @param incarnation number that grows with each start of the router
 * @param zone availability zone
 * @param region region
 * @param callerAddress address for callers, {@code host:port}
 * @param peerAddress address for other routers, {@code host:port}
 * @param leaving whether its planned stop has begun
 * @param joinRevision revision of the store at which this incarnation joined; orders the ranks in the tree
 */
public record Member(
        RouterId id,
        long incarnation,
        ZoneName zone,
        RegionName region,
        String callerAddress,
        String peerAddress,
        boolean leaving,
        long joinRevision) {}
