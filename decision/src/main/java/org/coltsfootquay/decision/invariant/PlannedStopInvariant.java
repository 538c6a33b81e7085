package org.coltsfootquay.decision.invariant;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.request.CallerRequest;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.decision.request.RequestObserver;
import org.coltsfootquay.decision.timeline.TimelineSink;

/** Checks G9 for a router: when a planned stop ends, no request that the router admitted is open. */
public final class PlannedStopInvariant implements RequestObserver {

    private final TimelineSink sink;
    private final Set<RequestId> open = new HashSet<>();

    /**
     * Creates the check.
     *
     * @param sink receives one event for each violation
     */
    public PlannedStopInvariant(TimelineSink sink) {
        this.sink = sink;
    }

    @Override
    public synchronized void handled(
            CallerRequest request, RequestEvent event, List<RequestAction> actions, long nowNanos) {
        if (event instanceof RequestEvent.Admitted) {
            open.add(request.id());
        }
        if (RequestInvariants.closed(actions)) {
            open.remove(request.id());
        }
    }

    /**
     * Checks that nothing is interrupted by the end of the process; called as the last step of a planned stop.
     *
     * @return true if no request is open
     */
    public synchronized boolean exiting() {
        open.forEach(request -> RequestInvariants.violated(sink, "G9", request, "open when the planned stop ended"));
        return open.isEmpty();
    }

    /**
     * Returns the number of open requests.
     *
     * @return number
     */
    public synchronized int open() {
        return open.size();
    }
}
