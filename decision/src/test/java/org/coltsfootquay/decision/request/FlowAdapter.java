package org.coltsfootquay.decision.request;

import java.util.List;
import org.coltsfootquay.decision.common.RequestAttempt;

/** A request flow as the test world drives it; test copies of the mechanism with a deliberate fault implement it. */
interface FlowAdapter {

    List<RequestAction> handle(RequestEvent event, long nowNanos);

    boolean maySend(RequestAttempt attempt, long nowNanos);

    /** Creates flows. */
    interface Factory {

        FlowAdapter create(CallerRequest request, RequestEnvironment environment);

        static Factory real() {
            return (request, environment) -> of(new RequestFlow(request, environment));
        }

        static FlowAdapter of(RequestFlow flow) {
            return new FlowAdapter() {
                @Override
                public List<RequestAction> handle(RequestEvent event, long nowNanos) {
                    return flow.handle(event, nowNanos);
                }

                @Override
                public boolean maySend(RequestAttempt attempt, long nowNanos) {
                    return flow.maySend(attempt, nowNanos);
                }
            };
        }
    }
}
