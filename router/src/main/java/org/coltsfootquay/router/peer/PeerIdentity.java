package org.coltsfootquay.router.peer;

import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * What a router states about itself when a connection opens.
 *
 * @param router identifier
 * @param incarnation number that grows with each start of the router
 * @param zone availability zone
 */
public record PeerIdentity(RouterId router, long incarnation, ZoneName zone) {}
