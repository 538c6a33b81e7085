package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Router as a member of the fleet.
 *
 * @param id identifier
 * @param incarnation number that increases with each start of the router
 * @param zone availability zone
 * @param region region
 * @param callerAddress address for callers, {@code host:port}
 * @param peerAddress address for other routers, {@code host:port}
 * @param leaving whether its graceful shutdown has begun
 * @param joinRevision store revision at which this incarnation joined; determines its rank in the aggregation tree
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
