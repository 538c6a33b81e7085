package org.coltsfootquay.decision.invariant;

import java.util.List;
import org.coltsfootquay.decision.request.CallerRequest;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.decision.request.RequestObserver;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;

/** Run-time checks of G5, G6, G7 and G9 over all flows of a router. Thread-safe. */
public final class RequestInvariants implements RequestObserver {

    private final AnswerIntegrityInvariant answers;
    private final TrueRefusalInvariant refusals;
    private final AtMostOnceInvariant atMostOnce;
    private final PlannedStopInvariant stops;

    /**
     * Creates the checks.
     *
     * @param sink receives one event for each violation
     */
    public RequestInvariants(TimelineSink sink) {
        this.answers = new AnswerIntegrityInvariant(sink);
        this.refusals = new TrueRefusalInvariant(sink);
        this.atMostOnce = new AtMostOnceInvariant(sink);
        this.stops = new PlannedStopInvariant(sink);
    }

    @Override
    public void handled(CallerRequest request, RequestEvent event, List<RequestAction> actions, long nowNanos) {
        answers.handled(request, event, actions, nowNanos);
        refusals.handled(request, event, actions, nowNanos);
        atMostOnce.handled(request, event, actions, nowNanos);
        stops.handled(request, event, actions, nowNanos);
    }

    /**
     * Returns the check of planned stops, which is told when the process exits.
     *
     * @return check
     */
    public PlannedStopInvariant stops() {
        return stops;
    }

    /** Reports a violation with the identifiers that explain it. */
    static void violated(TimelineSink sink, String guarantee, Object request, String reason) {
        sink.record(TimelineEvent.of(
                EventKind.INVARIANT_VIOLATED, "guarantee", guarantee, "request", request, "reason", reason));
    }

    /** Tells whether a flow ended with this step. */
    static boolean closed(List<RequestAction> actions) {
        for (RequestAction action : actions) {
            if (action instanceof RequestAction.Close) {
                return true;
            }
        }
        return false;
    }
}
