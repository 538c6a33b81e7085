package org.coltsfootquay.decision.dispatch;

import java.util.List;
import org.coltsfootquay.decision.common.ServerName;

/**
 * State of a server that is passed to its next owner.
 *
 * @param server server
 * @param limit concurrency limit; during a cold start, the limit that applies after the ramp
 * @param cold whether the limit is being ramped up after a cold start
 * @param requests requests in flight
 */
public record HandoverState(ServerName server, double limit, boolean cold, List<InFlightEntry> requests) {

    /** Copies the list. */
    public HandoverState {
        requests = List.copyOf(requests);
    }
}
