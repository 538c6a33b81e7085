package org.coltsfootquay.router.peer;

import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Identity that a router presents when a connection is opened.
 *
 * @param router identifier of the router
 * @param incarnation number that increases with each start of the router
 * @param zone availability zone
 */
public record PeerIdentity(RouterId router, long incarnation, ZoneName zone) {}
