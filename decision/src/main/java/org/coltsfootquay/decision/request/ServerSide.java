package org.coltsfootquay.decision.request;

import java.time.Duration;
import java.util.Optional;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.dispatch.EndReport.Outcome;
import org.coltsfootquay.decision.idempotency.RecordedResponse;
import org.coltsfootquay.decision.request.FlowState.Phase;
import org.coltsfootquay.decision.request.RequestEvent.ServerDeclined.Statement;
import org.coltsfootquay.decision.timeline.EventKind;

/** Part of a flow that deals with backend servers: the send, the answer, and what follows a failure. */
final class ServerSide {

    /** Time without any event from the server after which its connection counts as broken. */
    static final long SILENCE_NANOS = Duration.ofSeconds(60).toNanos();

    private static final int SERVER_ERROR = 500;

    private final FlowState state;
    private final OwnerSide owners;
    private boolean resumedWithoutProgress;

    ServerSide(FlowState state, OwnerSide owners) {
        this.state = state;
        this.owners = owners;
    }

    void onPreempted(long nowNanos) {
        if (state.request.once() || !state.inFlightOrOpening() || !state.answer.isContinuable()) {
            // It runs to its end: running it again, or passing its parts again, would break G5 or G7.
            return;
        }
        state.cancelOnServer();
        state.reportFinished(Outcome.CANCELLED, nowNanos);
        state.mayHaveRun = true;
        state.journal.note(EventKind.REQUEST_PREEMPTED, state.attempt, "server", state.grant.server());
        startOver(nowNanos);
        owners.place(Optional.of(state.owner), nowNanos);
    }

    void onSendStarted(long nowNanos) {
        if (state.phase != Phase.OPENING) {
            return;
        }
        long inputUnits = state.answer.next() > 0 ? 0 : state.request.estimatedInputUnits();
        state.meter = new AttemptMeter(state.request.kind(), inputUnits, nowNanos);
        resumedWithoutProgress = false;
        state.actions.add(new RequestAction.ReportStarted(state.owner, state.attempt));
        state.journal.note(
                EventKind.REQUEST_DISPATCHED,
                state.attempt,
                "server",
                state.grant.server(),
                "fencing",
                state.grant.fencingNumber());
        state.enter(Phase.SENT, nowNanos + SILENCE_NANOS);
    }

    void onSendAbandoned(long nowNanos) {
        if (state.phase != Phase.OPENING) {
            return;
        }
        if (state.callerGone) {
            state.withdraw("caller gone");
            state.finishWithoutAnswer(nowNanos);
        } else {
            owners.giveGrantBack(
                    state.grant.obstacle(state.environment, nowNanos).orElse(ErrorCode.GRANT_LAPSED), nowNanos);
        }
    }

    void onConnectFailed(long nowNanos) {
        if (state.phase == Phase.OPENING) {
            if (state.callerGone) {
                state.withdraw("caller gone");
                state.finishWithoutAnswer(nowNanos);
                return;
            }
            state.meter = new AttemptMeter(state.request.kind(), 0, nowNanos);
            retry(Outcome.BROKEN, ErrorCode.CONNECT_FAILED, false, nowNanos);
        } else if (state.inFlight()) {
            sendElsewhere(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
        }
    }

    void onDeclined(Statement statement, long nowNanos) {
        boolean cold = statement == Statement.COLD;
        ErrorCode code = cold ? ErrorCode.SERVER_COLD : ErrorCode.SERVER_FENCED;
        if (state.phase == Phase.RESUMING || state.answer.headSeen()) {
            sendElsewhere(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
        } else if (state.callerGone) {
            state.reportFinished(cold ? Outcome.COLD : Outcome.FENCED, nowNanos);
            state.phase = Phase.WAITING;
            state.finishWithoutAnswer(nowNanos);
        } else {
            retry(cold ? Outcome.COLD : Outcome.FENCED, code, false, nowNanos);
        }
    }

    void onHead(RequestEvent.HeadReceived head, long nowNanos) {
        boolean hasTokens = state.answer.tokens() && state.answer.next() > 0;
        boolean failed = head.status() >= SERVER_ERROR && !state.request.once();
        if (state.phase == Phase.RESUMING ? head.status() != 200 : hasTokens && head.status() != 200) {
            state.cancelOnServer();
            sendElsewhere(Outcome.FAILED, ErrorCode.SERVER_FAILED, nowNanos);
            return;
        }
        if (failed && !state.answer.started()) {
            long delay = retryDelay(nowNanos);
            if (delay >= 0) {
                state.cancelOnServer();
                state.reportFinished(Outcome.FAILED, nowNanos);
                state.mayHaveRun = true;
                state.bounds.failed(ErrorCode.SERVER_FAILED, state.grant.server());
                waitAndPlace(delay, nowNanos);
                return;
            }
        }
        state.answer.head(head.status(), head.headers());
        state.enter(Phase.SENT, nowNanos + SILENCE_NANOS);
    }

    void onPart(RequestEvent.PartReceived part, long nowNanos) {
        if (part.position() < state.answer.next()) {
            return;
        }
        if (!state.answer.headSeen() || part.position() > state.answer.next()) {
            state.cancelOnServer();
            sendElsewhere(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
            return;
        }
        if (state.answer.next() == 0) {
            state.journal.note(EventKind.REQUEST_FIRST_OUTPUT, state.attempt, "server", state.grant.server());
        }
        resumedWithoutProgress = false;
        state.meter.part(state.answer.tokens(), nowNanos);
        state.answer.part(part.data(), state.actions);
        if (state.answer.isTooLarge()) {
            state.cancelOnServer();
            state.reportFinished(Outcome.CANCELLED, nowNanos);
            state.mayHaveRun = true;
            state.end(ErrorCode.ANSWER_TOO_LARGE, Duration.ZERO, nowNanos);
            return;
        }
        state.dueNanos = nowNanos + SILENCE_NANOS;
        if (state.meter.reportDue(nowNanos)) {
            state.actions.add(new RequestAction.ReportProgress(
                    state.owner, state.attempt, state.meter.takeUnits(nowNanos), state.meter.takeWorstMillis()));
        }
    }

    void onEnd(RequestEvent.AnswerEnded ended, long nowNanos) {
        boolean complete = state.answer.headSeen() && (ended.total() < 0 || ended.total() == state.answer.next());
        if (!complete) {
            onBroken(nowNanos);
            return;
        }
        boolean failed = state.answer.status() >= SERVER_ERROR;
        state.reportFinished(failed ? Outcome.FAILED : Outcome.COMPLETED, nowNanos);
        state.answer.finish(ended.trailer(), state.actions);
        state.journal.note(
                failed ? EventKind.REQUEST_FAILED : EventKind.REQUEST_COMPLETED,
                state.attempt,
                "status",
                state.answer.status());
        state.enter(Phase.ENDED, Long.MAX_VALUE);
        if (state.record != null) {
            RecordedResponse recorded =
                    new RecordedResponse(state.answer.status(), state.answer.headers(), state.answer.bytes());
            state.store(state.record.recordFinished(recorded, nowNanos));
        }
        state.closeWhenSettled();
    }

    void onBroken(long nowNanos) {
        boolean resumable = state.request.kind() == ServiceKind.MODEL
                && (!state.answer.headSeen() || state.answer.tokens())
                && !resumedWithoutProgress;
        if (resumable) {
            long delay = retryDelay(nowNanos);
            if (delay >= 0) {
                resumedWithoutProgress = true;
                state.answer.restart();
                state.journal.note(
                        EventKind.REQUEST_RESUMED,
                        state.attempt,
                        "server",
                        state.grant.server(),
                        "from",
                        state.answer.next());
                state.actions.add(new RequestAction.ResumeOnServer(
                        state.attempt,
                        state.grant.server(),
                        state.grant.address(),
                        state.grant.fencingNumber(),
                        state.answer.next()));
                state.enter(Phase.RESUMING, nowNanos + SILENCE_NANOS);
                return;
            }
        }
        sendElsewhere(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
    }

    /** Sends the rest of a request elsewhere after an attempt that may have run. */
    void sendElsewhere(Outcome outcome, ErrorCode failure, long nowNanos) {
        retry(outcome, failure, true, nowNanos);
    }

    void retry(Outcome outcome, ErrorCode failure, boolean attemptMayHaveRun, long nowNanos) {
        state.reportFinished(outcome, nowNanos);
        state.mayHaveRun |= attemptMayHaveRun;
        state.bounds.failed(failure, state.grant.server());
        if (state.mayHaveRun && state.request.once()) {
            state.end(ErrorCode.OUTCOME_UNKNOWN, Duration.ZERO, nowNanos);
            return;
        }
        long delay = state.answer.isContinuable() ? retryDelay(nowNanos) : -1;
        if (delay < 0) {
            state.end(failure, FlowState.DEFAULT_RETRY_AFTER, nowNanos);
        } else {
            waitAndPlace(delay, nowNanos);
        }
    }

    long retryDelay(long nowNanos) {
        return state.callerGone ? -1 : state.bounds.retryDelay(state.answer.next() > 0, nowNanos);
    }

    void waitAndPlace(long delayNanos, long nowNanos) {
        state.journal.note(
                EventKind.REQUEST_RETRIED,
                state.attempt,
                "server",
                state.grant.server(),
                "retry",
                state.bounds.retries());
        startOver(nowNanos);
        state.enter(Phase.WAITING, nowNanos + delayNanos);
    }

    void startOver(long nowNanos) {
        state.answer.restart();
        state.bounds.startOver(nowNanos);
    }

    /** Gives up a server that has been silent for too long. */
    void silent(long nowNanos) {
        state.cancelOnServer();
        sendElsewhere(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
    }
}
