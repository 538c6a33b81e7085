package org.coltsfootquay.router.peer;

import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.protocol.generated.Frame;

/** Receives frames and reports of lost connections; called on event loops, so implementations must not block. */
public interface PeerListener {

    /**
     * Called when a frame arrives.
     *
     * @param from authenticated sender
     * @param frame frame; never empty, nor one that only serves the connection, such as {@code Hello}
     */
    void frameReceived(PeerIdentity from, Frame frame);

    /**
     * Called when a connection fails or is lost; frames accepted for sending may not have arrived.
     *
     * @param peer other router
     * @param reason reason to log
     */
    void peerLost(RouterId peer, String reason);
}
