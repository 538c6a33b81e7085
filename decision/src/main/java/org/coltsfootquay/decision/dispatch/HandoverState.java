package org.coltsfootquay.decision.dispatch;

import java.util.List;
import org.coltsfootquay.decision.common.ServerName;

/**
 * What the next owner of a server needs to know.
 *
 * @param server server
 * @param limit limit that the server returns to, or has, when it is not cold
 * @param cold whether the ramp of a cold start is active
 * @param requests requests in flight
 */
public record HandoverState(ServerName server, double limit, boolean cold, List<InFlightEntry> requests) {

    /** Copies the list. */
    public HandoverState {
        requests = List.copyOf(requests);
    }
}
