package org.coltsfootquay.decision.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.configuration.ClassOfWork;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;

/** Mutants of the request flow, each with one deliberate fault. */
enum RequestFlowMutant {
    /** Accepts events of any attempt. */
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
    /** Drops the third part of a response. */
    PART_LOST("G5") {
        @Override
        Optional<RequestAction> transformAction(RequestAction action) {
            boolean third = action instanceof RequestAction.SendPart part && part.position() == 2;
            return third ? Optional.empty() : Optional.of(action);
        }
    },
    /** Treats a broken connection as the end of a response. */
    BROKEN_TREATED_AS_COMPLETE("G5") {
        @Override
        RequestEvent transformEvent(RequestEvent event, RequestFlow flow) {
            return event instanceof RequestEvent.ConnectionBroken broken
                    ? new RequestEvent.ResponseEnded(broken.attempt(), -1, "")
                    : event;
        }
    },
    /** Reports each failed request as not executed. */
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
    /** Treats a write with an unknown outcome as applied. */
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
    /** Treats a booking as idempotent. */
    BOOKING_REPEATED("G7") {
        @Override
        CallerRequest transformRequest(CallerRequest request) {
            ClassOfWork work = request.classOfWork();
            ClassOfWork idempotent = new ClassOfWork(
                    work.name(), work.service(), work.target(), work.patience(), true, work.routes(), true);
            return new CallerRequest(
                    request.id(),
                    request.workspace(),
                    idempotent,
                    request.kind(),
                    request.estimatedInputUnits(),
                    request.estimatedOutputUnits(),
                    request.prefixHashes(),
                    request.streamed(),
                    request.idempotency());
        }
    },
    /** Drops a request after a preemption, so that the process exits with open requests. */
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

    /** Environment without observer, so that only the actions of the mutant are observed. */
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
