package org.coltsfootquay.decision.invariant;

import java.util.List;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.request.CallerRequest;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.decision.request.RequestObserver;

/** Run-time checks of G5, G6, G7 and G9 over all request flows of a router; thread-safe. */
public final class RequestInvariants implements RequestObserver {

    private final ResponseIntegrityInvariant responses;
    private final NotRunRefusalInvariant refusals;
    private final AtMostOnceInvariant atMostOnce;
    private final GracefulShutdownInvariant gracefulShutdown;

    /**
     * Creates the checks.
     *
     * @param monitor monitor that counts and records violations
     */
    public RequestInvariants(InvariantMonitor monitor) {
        this.responses = new ResponseIntegrityInvariant(monitor);
        this.refusals = new NotRunRefusalInvariant(monitor);
        this.atMostOnce = new AtMostOnceInvariant(monitor);
        this.gracefulShutdown = new GracefulShutdownInvariant(monitor);
    }

    @Override
    public void onEventHandled(CallerRequest request, RequestEvent event, List<RequestAction> actions, long nowNanos) {
        responses.onEventHandled(request, event, actions, nowNanos);
        refusals.onEventHandled(request, event, actions, nowNanos);
        atMostOnce.onEventHandled(request, event, actions, nowNanos);
        gracefulShutdown.onEventHandled(request, event, actions, nowNanos);
    }

    /**
     * Returns the check that must be called at the end of a graceful shutdown, before the process exits.
     *
     * @return check of graceful shutdowns
     */
    public GracefulShutdownInvariant gracefulShutdown() {
        return gracefulShutdown;
    }

    /** Records a violation for a request. */
    static void recordViolation(InvariantMonitor monitor, Guarantee guarantee, RequestId request, String reason) {
        monitor.recordViolation(guarantee, reason, "request", request);
    }

    /** Returns whether the actions close the flow of the request. */
    static boolean isClosed(List<RequestAction> actions) {
        for (RequestAction action : actions) {
            if (action instanceof RequestAction.Close) {
                return true;
            }
        }
        return false;
    }
}
