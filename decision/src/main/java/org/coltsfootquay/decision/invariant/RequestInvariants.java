package org.coltsfootquay.decision.invariant;

import java.util.List;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.request.CallerRequest;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.decision.request.RequestObserver;

/** Run-time checks of G5, G6, G7 and G9 over all flows of a router. Thread-safe. */
public final class RequestInvariants implements RequestObserver {

    private final ResponseIntegrityInvariant answers;
    private final NotRunRefusalInvariant refusals;
    private final AtMostOnceInvariant atMostOnce;
    private final GracefulShutdownInvariant gracefulShutdown;

    /**
     * Creates the checks.
     *
     * @param monitor counts and records the violations
     */
    public RequestInvariants(InvariantMonitor monitor) {
        this.answers = new ResponseIntegrityInvariant(monitor);
        this.refusals = new NotRunRefusalInvariant(monitor);
        this.atMostOnce = new AtMostOnceInvariant(monitor);
        this.gracefulShutdown = new GracefulShutdownInvariant(monitor);
    }

    @Override
    public void onEventHandled(CallerRequest request, RequestEvent event, List<RequestAction> actions, long nowNanos) {
        answers.onEventHandled(request, event, actions, nowNanos);
        refusals.onEventHandled(request, event, actions, nowNanos);
        atMostOnce.onEventHandled(request, event, actions, nowNanos);
        gracefulShutdown.onEventHandled(request, event, actions, nowNanos);
    }

    /**
     * Returns the check of planned stops, which is told when the process exits.
     *
     * @return check
     */
    public GracefulShutdownInvariant gracefulShutdown() {
        return gracefulShutdown;
    }

    /** Reports a violation with the identifiers that explain it. */
    static void recordViolation(InvariantMonitor monitor, Guarantee guarantee, RequestId request, String reason) {
        monitor.recordViolation(guarantee, reason, "request", request);
    }

    /** Tells whether a flow ended with this step. */
    static boolean isClosed(List<RequestAction> actions) {
        for (RequestAction action : actions) {
            if (action instanceof RequestAction.Close) {
                return true;
            }
        }
        return false;
    }
}
