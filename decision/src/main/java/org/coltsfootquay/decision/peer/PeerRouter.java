package org.coltsfootquay.decision.peer;

import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Identity and addresses of a router.
 *
 * @param id identifier
 * @param zone availability zone
 * @param host IP address
 * @param peerPort UDP and TCP port for other routers
 * @param callerAddress IP address and port for callers
 */
public record PeerRouter(RouterId id, ZoneName zone, String host, int peerPort, String callerAddress) {

    /** Validates the values. */
    public PeerRouter {
        ArgumentUtils.requireValue(id, "id");
        ArgumentUtils.requireValue(zone, "zone");
        ArgumentUtils.requireText(host, "host");
        ArgumentUtils.requirePort(peerPort, "peerPort");
        ArgumentUtils.requireText(callerAddress, "callerAddress");
    }
}
