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
 * Checks G9 for a router: when a graceful shutdown completes, no request that the router admitted is open.
 *
 * <p>A request is open until its caller has received the end of the response or has disconnected; a non-idempotent
 * request whose caller disconnected stays open until its flow is closed. A request whose response has ended may
 * still have a write of its record in flight: if that write is lost, a later retry gets {@code outcome_unknown}, but no
 * caller is interrupted.
 */
public final class GracefulShutdownInvariant implements RequestObserver {

    private final InvariantMonitor monitor;
    private final Set<RequestId> openRequests = new HashSet<>();

    /**
     * Creates the check.
     *
     * @param monitor monitor that counts and records violations
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
        boolean callerDisconnected = event instanceof RequestEvent.CallerDisconnected && !request.atMostOnce();
        if (callerDisconnected
                || RequestInvariants.isClosed(actions)
                || actions.stream().anyMatch(GracefulShutdownInvariant::endsResponse)) {
            openRequests.remove(request.id());
        }
    }

    /**
     * Checks that the exit of the process interrupts no request; called as the last step of a graceful shutdown.
     *
     * @return true if no request is open
     */
    public synchronized boolean checkNoOpenRequests() {
        openRequests.forEach(request -> RequestInvariants.recordViolation(
                monitor, Guarantee.G9, request, "request still open at the end of the graceful shutdown"));
        return openRequests.isEmpty();
    }

    /**
     * Returns the number of open requests.
     *
     * @return number of open requests
     */
    public synchronized int openRequests() {
        return openRequests.size();
    }

    private static boolean endsResponse(RequestAction action) {
        return action instanceof RequestAction.FinishResponse
                || action instanceof RequestAction.SendResponse
                || action instanceof RequestAction.EndWithError
                || action instanceof RequestAction.Refuse;
    }
}
