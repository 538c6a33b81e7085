package org.coltsfootquay.decision.request;

import java.util.List;

/** Sees each event of a flow and the actions that followed, to check the guarantees at run time. */
@FunctionalInterface
public interface RequestObserver {

    /** Observer that checks nothing. */
    RequestObserver NONE = (request, event, actions, nowNanos) -> {};

    /**
     * Observes one step of a flow.
     *
     * @param request request
     * @param event event
     * @param actions actions, unmodifiable
     * @param nowNanos current time of the monotonic clock
     */
    void onEventHandled(CallerRequest request, RequestEvent event, List<RequestAction> actions, long nowNanos);
}
