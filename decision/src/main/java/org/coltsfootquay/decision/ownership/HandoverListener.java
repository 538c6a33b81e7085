package org.coltsfootquay.decision.ownership;

import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;

/** Receiver of completed handovers, which sends the in-flight set to the new owner. */
@FunctionalInterface
public interface HandoverListener {

    /** Listener that does nothing. */
    HandoverListener NONE = (server, newOwner, fencingNumber) -> {};

    /**
     * Called when the row names the new owner.
     *
     * @param server server
     * @param newOwner new owner
     * @param fencingNumber fencing number of the new owner
     */
    void handedOver(ServerName server, RouterId newOwner, long fencingNumber);
}
