package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Connectivity of this router to other routers.
 *
 * @param lastMessageNanos timer service time at which the latest message from another router arrived
 */
public record PeerConnectivity(long lastMessageNanos) {

    /** Topic written by the transport between routers. */
    public static final Topic<PeerConnectivity> TOPIC =
            new Topic<>("peer-connectivity", new PeerConnectivity(Long.MIN_VALUE / 2));
}
