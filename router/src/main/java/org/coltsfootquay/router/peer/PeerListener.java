package org.coltsfootquay.router.peer;

import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.protocol.generated.Frame;

/** Receiver of frames and of lost connections; called on event loops, must not block. */
public interface PeerListener {

    /**
     * A frame arrived.
     *
     * @param from authenticated sender
     * @param frame frame; neither {@code Hello} nor empty
     */
    void frameReceived(PeerIdentity from, Frame frame);

    /**
     * A connection could not be made or was lost; frames that were accepted for sending may not have arrived.
     *
     * @param peer other router
     * @param reason reason, for the log
     */
    void peerLost(RouterId peer, String reason);
}
