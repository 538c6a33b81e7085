package org.coltsfootquay.decision.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.configuration.ClassOfWork;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;

/** Test copies of the request flow with one deliberate fault each. */
enum RequestFlowMutant {
    /** Accepts messages of any attempt. */
    ATTEMPT_NOT_CHECKED("G5") {
        @Override
        RequestEvent transformEvent(RequestEvent event, RequestFlow flow) {
            if (event instanceof RequestEvent.PartReceived part
                    && flow.attempt().isPresent()) {
                return new RequestEvent.PartReceived(flow.attempt().get(), part.position(), part.data());
            }
            return event;
        }
    },
    /** Loses the third part of an answer. */
    PART_LOST("G5") {
        @Override
        Optional<RequestAction> transformAction(RequestAction action) {
            boolean third = action instanceof RequestAction.SendPart part && part.position() == 2;
            return third ? Optional.empty() : Optional.of(action);
        }
    },
    /** Takes the end of a connection for the end of an answer. */
    BROKEN_TREATED_AS_COMPLETE("G5") {
        @Override
        RequestEvent transformEvent(RequestEvent event, RequestFlow flow) {
            return event instanceof RequestEvent.ConnectionBroken broken
                    ? new RequestEvent.ResponseEnded(broken.attempt(), -1, "")
                    : event;
        }
    },
    /** Claims that no failed request ran. */
    ALWAYS_NOT_RUN("G6") {
        @Override
        Optional<RequestAction> transformAction(RequestAction action) {
            if (action instanceof RequestAction.Refuse refuse) {
                return Optional.of(new RequestAction.Refuse(notRun(refuse.error())));
            }
            if (action instanceof RequestAction.EndWithError end) {
                return Optional.of(new RequestAction.EndWithError(notRun(end.error())));
            }
            return Optional.of(action);
        }
    },
    /** Takes a write whose outcome is unknown for applied. */
    UNKNOWN_TREATED_AS_APPLIED("G7") {
        @Override
        RequestEvent transformEvent(RequestEvent event, RequestFlow flow) {
            if (event instanceof RequestEvent.RecordWritten written
                    && written.result().outcome() == WriteOutcome.UNKNOWN) {
                WriteResult applied = new WriteResult(WriteOutcome.APPLIED, 1, Optional.empty());
                return new RequestEvent.RecordWritten(written.sequence(), applied);
            }
            return event;
        }
    },
    /** Treats a booking as if it could be repeated. */
    BOOKING_REPEATED("G7") {
        @Override
        CallerRequest transformRequest(CallerRequest request) {
            ClassOfWork work = request.classOfWork();
            ClassOfWork repeatable = new ClassOfWork(
                    work.name(), work.service(), work.target(), work.patience(), true, work.routes(), true);
            return new CallerRequest(
                    request.id(),
                    request.workspace(),
                    repeatable,
                    request.kind(),
                    request.estimatedInputUnits(),
                    request.estimatedOutputUnits(),
                    request.prefixHashes(),
                    request.streamed(),
                    request.idempotency());
        }
    },
    /** Forgets a request after a preemption, so that the process exits with open requests. */
    DROPPED_AFTER_PREEMPTION("G9") {
        @Override
        RequestEvent transformEvent(RequestEvent event, RequestFlow flow) {
            boolean continued = event instanceof RequestEvent.OwnerGranted granted
                    && granted.attempt().attempt() > 1;
            return continued ? new RequestEvent.TimerFired() : event;
        }

        @Override
        Optional<RequestAction> transformAction(RequestAction action) {
            return action instanceof RequestAction.ScheduleTimer ? Optional.empty() : Optional.of(action);
        }
    };

    final String guarantee;

    RequestFlowMutant(String guarantee) {
        this.guarantee = guarantee;
    }

    CallerRequest transformRequest(CallerRequest request) {
        return request;
    }

    RequestEvent transformEvent(RequestEvent event, RequestFlow flow) {
        return event;
    }

    Optional<RequestAction> transformAction(RequestAction action) {
        return Optional.of(action);
    }

    FlowAdapter.Factory factory() {
        return (request, environment) -> {
            RequestFlow flow = new RequestFlow(transformRequest(request), new UnobservedEnvironment(environment));
            return new FlowAdapter() {
                @Override
                public List<RequestAction> handle(RequestEvent received, long nowNanos) {
                    List<RequestAction> actions = new ArrayList<>();
                    for (RequestAction action : flow.handle(transformEvent(received, flow), nowNanos)) {
                        transformAction(action).ifPresent(actions::add);
                    }
                    environment.observer().onEventHandled(request, received, actions, nowNanos);
                    return actions;
                }

                @Override
                public boolean maySend(RequestAttempt attempt, long nowNanos) {
                    return flow.maySend(attempt, nowNanos);
                }
            };
        };
    }

    private static ErrorResponse notRun(ErrorResponse error) {
        return new ErrorResponse(error.code(), ErrorResponse.Execution.NOT_RUN, error.message(), error.retryAfter());
    }

    /** Environment without observer: the checks see what the faulty copy does. */
    private static final class UnobservedEnvironment extends DelegatingEnvironment {

        UnobservedEnvironment(RequestEnvironment inner) {
            super(inner);
        }

        @Override
        public RequestObserver observer() {
            return RequestObserver.NONE;
        }
    }
}
