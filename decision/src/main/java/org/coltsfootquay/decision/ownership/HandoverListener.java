package org.coltsfootquay.decision.ownership;

import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;

/** Listener for completed handovers; it sends the in-flight requests of the server to the new owner. */
@FunctionalInterface
public interface HandoverListener {

    /** Listener that does nothing. */
    HandoverListener NONE = (server, newOwner, fencingNumber) -> {};

    /**
     * Called after the server row was changed to name the new owner.
     *
     * @param server server that was handed over
     * @param newOwner new owner
     * @param fencingNumber fencing number of the new owner
     */
    void handedOver(ServerName server, RouterId newOwner, long fencingNumber);
}
