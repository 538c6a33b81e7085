package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Contact of this router with other routers.
 *
 * @param lastMessageNanos time by the timer service at which the newest message of another router arrived
 */
public record PeerConnectivity(long lastMessageNanos) {

    /** Topic written by the transport between routers. */
    public static final Topic<PeerConnectivity> TOPIC = new Topic<>("peer-contact", new PeerConnectivity(Long.MIN_VALUE / 2));
}
