package org.coltsfootquay.decision.invariant;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.request.CallerRequest;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.decision.request.RequestObserver;

/**
 * Checks G9 for a router: when a planned stop ends, no request that the router admitted is open.
 *
 * <p>A request is open until its caller received an end or left; a non-idempotent one whose caller left is open until
 * its flow closed. An answered request may still have its record written: losing that makes a later retry
 * {@code outcome_unknown}, but interrupts nobody.
 */
public final class GracefulShutdownInvariant implements RequestObserver {

    private final InvariantMonitor monitor;
    private final Set<RequestId> openRequests = new HashSet<>();

    /**
     * Creates the check.
     *
     * @param monitor counts and records the violations
     */
    public GracefulShutdownInvariant(InvariantMonitor monitor) {
        this.monitor = monitor;
    }

    @Override
    public synchronized void onEventHandled(
            CallerRequest request, RequestEvent event, List<RequestAction> actions, long nowNanos) {
        if (event instanceof RequestEvent.Admitted) {
            openRequests.add(request.id());
        }
        boolean left = event instanceof RequestEvent.CallerDisconnected && !request.atMostOnce();
        if (left || RequestInvariants.isClosed(actions) || actions.stream().anyMatch(GracefulShutdownInvariant::isEnd)) {
            openRequests.remove(request.id());
        }
    }

    /**
     * Checks that nothing is interrupted by the end of the process; called as the last step of a planned stop.
     *
     * @return true if no request is open
     */
    public synchronized boolean checkNoOpenRequests() {
        openRequests.forEach(request ->
                RequestInvariants.recordViolation(monitor, Guarantee.G9, request, "open when the planned stop ended"));
        return openRequests.isEmpty();
    }

    /**
     * Returns the number of open requests.
     *
     * @return number
     */
    public synchronized int openRequests() {
        return openRequests.size();
    }

    private static boolean isEnd(RequestAction action) {
        return action instanceof RequestAction.FinishResponse
                || action instanceof RequestAction.SendResponse
                || action instanceof RequestAction.EndWithError
                || action instanceof RequestAction.Refuse;
    }
}
