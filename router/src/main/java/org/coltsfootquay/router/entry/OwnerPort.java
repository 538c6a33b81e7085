package org.coltsfootquay.router.entry;

import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.protocol.generated.Frame;

/** Sends frames to owners, which may include this router itself. */
@FunctionalInterface
public interface OwnerPort {

    /**
     * Sends a frame.
     *
     * @param owner recipient
     * @param frame frame to send
     * @return false if the frame was dropped because the owner is unknown or its send queue is full
     */
    boolean send(RouterId owner, Frame frame);
}
