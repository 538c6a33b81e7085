package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Contact of this router with other routers.
 *
 * @param lastHeardNanos time by the timer service at which the newest message of another router arrived
 */
public record PeerContact(long lastHeardNanos) {

    /** Topic written by the transport between routers. */
    public static final Topic<PeerContact> TOPIC = new Topic<>("peer-contact", new PeerContact(Long.MIN_VALUE / 2));
}
