package org.coltsfootquay.decision.request;

import java.util.List;

/** Observes each event of a flow and the resulting actions, to check the guarantees at run time. */
@FunctionalInterface
public interface RequestObserver {

    /** Observer that checks nothing. */
    RequestObserver NONE = (request, event, actions, nowNanos) -> {};

    /**
     * Observes an event after a flow handled it.
     *
     * @param request request
     * @param event event
     * @param actions resulting actions, unmodifiable
     * @param nowNanos current time of the monotonic clock
     */
    void onEventHandled(CallerRequest request, RequestEvent event, List<RequestAction> actions, long nowNanos);
}
