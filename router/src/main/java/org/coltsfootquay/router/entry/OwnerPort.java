package org.coltsfootquay.router.entry;

import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.protocol.generated.Frame;

/** Sends frames to owners; this router itself may be one. */
@FunctionalInterface
public interface OwnerPort {

    /**
     * Sends a frame.
     *
     * @param owner receiver
     * @param frame frame
     * @return false when the frame was dropped because the owner is unknown or its queue is full
     */
    boolean send(RouterId owner, Frame frame);
}
