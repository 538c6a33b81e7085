package org.coltsfootquay.decision.rollout;

import org.coltsfootquay.decision.common.ServiceName;

/** What a router knows of the fleet. */
public interface FleetView {

    /**
     * Returns the number of all routers that may be sending requests, this one included.
     *
     * @return number, at least 1
     */
    int members();

    /**
     * Returns the position of this router in an order of the routers that it hears.
     *
     * @param salt value that the order depends on
     * @return position, from 0
     */
    int position(long salt);

    /**
     * Returns whether no router has a request in progress at a server of another version.
     *
     * @param service service
     * @param target target of the roll-out
     * @return true if the servers of other versions may stop
     */
    boolean othersIdle(ServiceName service, String target);

    /**
     * Returns whether a server of another version is registered and may get requests, apart from pauses.
     *
     * @param service service
     * @param target target of the roll-out
     * @return true if there is one
     */
    boolean hasOthers(ServiceName service, String target);
}
