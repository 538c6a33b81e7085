package org.coltsfootquay.decision.request;

import java.time.Duration;
import java.util.Optional;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.dispatch.EndReport.Outcome;
import org.coltsfootquay.decision.idempotency.RecordedResponse;
import org.coltsfootquay.decision.request.FlowState.Phase;
import org.coltsfootquay.decision.request.RequestEvent.ServerDeclined.Reason;
import org.coltsfootquay.decision.timeline.EventKind;

/** Part of a flow that deals with backend servers: the send, the answer, and what follows a failure. */
final class ServerEventHandler {

    /** Time without any event from the server after which its connection counts as broken. */
    static final long SILENCE_TIMEOUT_NANOS = Duration.ofSeconds(60).toNanos();

    private static final int SERVER_ERROR = 500;

    private final FlowState state;
    private final OwnerEventHandler ownerHandler;
    private boolean resumedWithoutProgress;

    ServerEventHandler(FlowState state, OwnerEventHandler owners) {
        this.state = state;
        this.ownerHandler = owners;
    }

    void onPreempted(long nowNanos) {
        if (state.request.atMostOnce() || !state.inFlightOrConnecting() || !state.response.isContinuable()) {
            // It runs to its end: running it again, or passing its parts again, would break G5 or G7.
            return;
        }
        state.cancelOnServer();
        state.reportFinished(Outcome.CANCELLED, nowNanos);
        state.mayHaveRun = true;
        state.timeline.record(EventKind.REQUEST_PREEMPTED, state.attempt, "server", state.grant.server());
        prepareRetry(nowNanos);
        ownerHandler.place(Optional.of(state.owner), nowNanos);
    }

    void onSendStarted(long nowNanos) {
        if (state.phase != Phase.CONNECTING) {
            return;
        }
        long inputUnits = state.response.nextPosition() > 0 ? 0 : state.request.estimatedInputUnits();
        state.meter = new AttemptMeter(state.request.kind(), inputUnits, nowNanos);
        resumedWithoutProgress = false;
        state.actions.add(new RequestAction.ReportStarted(state.owner, state.attempt));
        state.timeline.record(
                EventKind.REQUEST_DISPATCHED,
                state.attempt,
                "server",
                state.grant.server(),
                "fencing",
                state.grant.fencingNumber());
        state.enterPhase(Phase.SENT, nowNanos + SILENCE_TIMEOUT_NANOS);
    }

    void onSendAbandoned(long nowNanos) {
        if (state.phase != Phase.CONNECTING) {
            return;
        }
        if (state.callerDisconnected) {
            state.withdrawFromOwner("caller gone");
            state.finishWithoutResponse(nowNanos);
        } else {
            ownerHandler.returnGrant(
                    state.grant.validate(state.environment, nowNanos).orElse(ErrorCode.GRANT_LAPSED), nowNanos);
        }
    }

    void onConnectFailed(long nowNanos) {
        if (state.phase == Phase.CONNECTING) {
            if (state.callerDisconnected) {
                state.withdrawFromOwner("caller gone");
                state.finishWithoutResponse(nowNanos);
                return;
            }
            state.meter = new AttemptMeter(state.request.kind(), 0, nowNanos);
            retryOrFail(Outcome.BROKEN, ErrorCode.CONNECT_FAILED, false, nowNanos);
        } else if (state.inFlight()) {
            retryAfterPossibleExecution(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
        }
    }

    void onDeclined(Reason statement, long nowNanos) {
        boolean cold = statement == Reason.COLD;
        ErrorCode code = cold ? ErrorCode.SERVER_COLD : ErrorCode.SERVER_FENCED;
        if (state.phase == Phase.RESUMING || state.response.headReceived()) {
            retryAfterPossibleExecution(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
        } else if (state.callerDisconnected) {
            state.reportFinished(cold ? Outcome.COLD : Outcome.FENCED, nowNanos);
            state.phase = Phase.BACKING_OFF;
            state.finishWithoutResponse(nowNanos);
        } else {
            retryOrFail(cold ? Outcome.COLD : Outcome.FENCED, code, false, nowNanos);
        }
    }

    void onHead(RequestEvent.HeadReceived head, long nowNanos) {
        boolean hasTokens = state.response.tokenStream() && state.response.nextPosition() > 0;
        boolean failed = head.status() >= SERVER_ERROR && !state.request.atMostOnce();
        if (state.phase == Phase.RESUMING ? head.status() != 200 : hasTokens && head.status() != 200) {
            state.cancelOnServer();
            retryAfterPossibleExecution(Outcome.FAILED, ErrorCode.SERVER_FAILED, nowNanos);
            return;
        }
        if (failed && !state.response.started()) {
            long delay = reserveRetry(nowNanos);
            if (delay >= 0) {
                state.cancelOnServer();
                state.reportFinished(Outcome.FAILED, nowNanos);
                state.mayHaveRun = true;
                state.limits.recordFailure(ErrorCode.SERVER_FAILED, state.grant.server());
                backOff(delay, nowNanos);
                return;
            }
        }
        state.response.receiveHead(head.status(), head.headers());
        state.enterPhase(Phase.SENT, nowNanos + SILENCE_TIMEOUT_NANOS);
    }

    void onPart(RequestEvent.PartReceived part, long nowNanos) {
        if (part.position() < state.response.nextPosition()) {
            return;
        }
        if (!state.response.headReceived() || part.position() > state.response.nextPosition()) {
            state.cancelOnServer();
            retryAfterPossibleExecution(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
            return;
        }
        if (state.response.nextPosition() == 0) {
            state.timeline.record(EventKind.REQUEST_FIRST_OUTPUT, state.attempt, "server", state.grant.server());
        }
        resumedWithoutProgress = false;
        state.meter.recordPart(state.response.tokenStream(), nowNanos);
        state.response.receivePart(part.data(), state.actions);
        if (state.response.isTooLarge()) {
            state.cancelOnServer();
            state.reportFinished(Outcome.CANCELLED, nowNanos);
            state.mayHaveRun = true;
            state.endWithError(ErrorCode.ANSWER_TOO_LARGE, Duration.ZERO, nowNanos);
            return;
        }
        state.phaseDeadlineNanos = nowNanos + SILENCE_TIMEOUT_NANOS;
        if (state.meter.isReportDue(nowNanos)) {
            state.actions.add(new RequestAction.ReportProgress(
                    state.owner, state.attempt, state.meter.takeUnreportedUnits(nowNanos), state.meter.takeWorstTokenIntervalMillis()));
        }
    }

    void onResponseEnded(RequestEvent.ResponseEnded ended, long nowNanos) {
        boolean complete = state.response.headReceived() && (ended.total() < 0 || ended.total() == state.response.nextPosition());
        if (!complete) {
            onConnectionBroken(nowNanos);
            return;
        }
        boolean failed = state.response.status() >= SERVER_ERROR;
        state.reportFinished(failed ? Outcome.FAILED : Outcome.COMPLETED, nowNanos);
        state.response.finish(ended.trailer(), state.actions);
        state.timeline.record(
                failed ? EventKind.REQUEST_FAILED : EventKind.REQUEST_COMPLETED,
                state.attempt,
                "status",
                state.response.status());
        state.enterPhase(Phase.ENDED, Long.MAX_VALUE);
        if (state.record != null) {
            RecordedResponse recorded =
                    new RecordedResponse(state.response.status(), state.response.headers(), state.response.bytes());
            state.addRecordActions(state.record.recordFinished(recorded, nowNanos));
        }
        state.closeIfRecorded();
    }

    void onConnectionBroken(long nowNanos) {
        boolean resumable = state.request.kind() == ServiceKind.MODEL
                && (!state.response.headReceived() || state.response.tokenStream())
                && !resumedWithoutProgress;
        if (resumable) {
            long delay = reserveRetry(nowNanos);
            if (delay >= 0) {
                resumedWithoutProgress = true;
                state.response.prepareRetry();
                state.timeline.record(
                        EventKind.REQUEST_RESUMED,
                        state.attempt,
                        "server",
                        state.grant.server(),
                        "from",
                        state.response.nextPosition());
                state.actions.add(new RequestAction.ResumeOnServer(
                        state.attempt,
                        state.grant.server(),
                        state.grant.address(),
                        state.grant.fencingNumber(),
                        state.response.nextPosition()));
                state.enterPhase(Phase.RESUMING, nowNanos + SILENCE_TIMEOUT_NANOS);
                return;
            }
        }
        retryAfterPossibleExecution(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
    }

    /** Sends the rest of a request elsewhere after an attempt that may have run. */
    void retryAfterPossibleExecution(Outcome outcome, ErrorCode failure, long nowNanos) {
        retryOrFail(outcome, failure, true, nowNanos);
    }

    void retryOrFail(Outcome outcome, ErrorCode failure, boolean attemptMayHaveRun, long nowNanos) {
        state.reportFinished(outcome, nowNanos);
        state.mayHaveRun |= attemptMayHaveRun;
        state.limits.recordFailure(failure, state.grant.server());
        if (state.mayHaveRun && state.request.atMostOnce()) {
            state.endWithError(ErrorCode.OUTCOME_UNKNOWN, Duration.ZERO, nowNanos);
            return;
        }
        long delay = state.response.isContinuable() ? reserveRetry(nowNanos) : -1;
        if (delay < 0) {
            state.endWithError(failure, FlowState.DEFAULT_RETRY_AFTER, nowNanos);
        } else {
            backOff(delay, nowNanos);
        }
    }

    long reserveRetry(long nowNanos) {
        return state.callerDisconnected ? -1 : state.limits.reserveRetry(state.response.nextPosition() > 0, nowNanos);
    }

    void backOff(long delayNanos, long nowNanos) {
        state.timeline.record(
                EventKind.REQUEST_RETRIED,
                state.attempt,
                "server",
                state.grant.server(),
                "retry",
                state.limits.retries());
        prepareRetry(nowNanos);
        state.enterPhase(Phase.BACKING_OFF, nowNanos + delayNanos);
    }

    void prepareRetry(long nowNanos) {
        state.response.prepareRetry();
        state.limits.resetPatience(nowNanos);
    }

    /** Gives up a server that has been silent for too long. */
    void onSilence(long nowNanos) {
        state.cancelOnServer();
        retryAfterPossibleExecution(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
    }
}
