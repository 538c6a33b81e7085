package org.coltsfootquay.decision.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.dispatch.EndReport.Outcome;
import org.coltsfootquay.decision.idempotency.RecordAction;
import org.coltsfootquay.decision.idempotency.RecordStateMachine;
import org.coltsfootquay.decision.request.ErrorResponse.Execution;
import org.coltsfootquay.decision.timeline.EventKind;

/** State of a request that the event handlers of its flow share, and the operations that end the request. */
final class FlowState {

    /** Retry-After time for errors where the owner did not give one. */
    static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    final CallerRequest request;
    final RequestEnvironment environment;
    final CallerResponse response;
    final RequestTimeline timeline;
    final AttemptLimits limits;
    final RecordStateMachine record;
    Phase phase = Phase.NEW;
    RequestAttempt attempt;
    RouterId owner;
    Grant grant;
    AttemptMeter meter;
    long phaseDeadlineNanos = Long.MAX_VALUE;
    long timerNanos = Long.MAX_VALUE;
    boolean mayHaveRun;
    boolean callerDisconnected;
    List<RequestAction> actions = new ArrayList<>(4);

    FlowState(CallerRequest request, RequestEnvironment environment) {
        this.request = request;
        this.environment = environment;
        this.response = new CallerResponse(request);
        this.limits = new AttemptLimits(request, environment);
        this.timeline = new RequestTimeline(request, environment.timeline());
        this.record = request.atMostOnce() ? RecordStateMachineFactory.create(request, environment) : null;
    }

    /** Adds the reads and writes of the idempotency record, and closes the flow once its end is recorded. */
    void addRecordActions(List<RecordAction> recordActions) {
        for (RecordAction recordAction : recordActions) {
            if (recordAction instanceof RecordAction.Write write) {
                actions.add(new RequestAction.WriteRecord(write.sequence(), write.write()));
            } else if (recordAction instanceof RecordAction.Read read) {
                actions.add(new RequestAction.ReadRecord(read.sequence(), read.key()));
            } else if (recordAction instanceof RecordAction.Finalized) {
                timeline.record(EventKind.RECORD_COMPLETED, attempt);
                closeIfRecorded();
            }
        }
    }

    void endWithError(ErrorCode code, Duration retryAfter, long nowNanos) {
        boolean executedBefore = code == ErrorCode.IN_PROGRESS
                || code == ErrorCode.OUTCOME_UNKNOWN
                || code == ErrorCode.ANSWER_NOT_RECORDED;
        Execution execution = mayHaveRun || executedBefore ? Execution.UNKNOWN : Execution.NOT_RUN;
        response.sendError(new ErrorResponse(code, execution, code.message(), retryAfter), actions);
        timeline.record(
                execution == Execution.NOT_RUN ? EventKind.REQUEST_REFUSED : EventKind.REQUEST_FAILED,
                attempt,
                "reason",
                code.label());
        finishWithoutResponse(nowNanos);
    }

    void finishWithoutResponse(long nowNanos) {
        enterPhase(Phase.ENDED, Long.MAX_VALUE);
        if (record != null) {
            addRecordActions(mayHaveRun ? record.recordOutcomeUnknown(nowNanos) : record.recordNotRun(nowNanos));
        }
        closeIfRecorded();
    }

    void closeIfRecorded() {
        if (phase == Phase.ENDED && (record == null || !record.isWaitingForStore())) {
            phase = Phase.CLOSED;
            actions.add(new RequestAction.Close());
        }
    }

    void withdrawFromOwner(String reason) {
        actions.add(new RequestAction.WithdrawFromOwner(owner, attempt, reason));
    }

    void cancelOnServer() {
        actions.add(new RequestAction.CancelOnServer(attempt, grant.server(), grant.address()));
    }

    void reportFinished(Outcome outcome, long nowNanos) {
        AttemptMeter measured = meter == null ? new AttemptMeter(request.kind(), 0, nowNanos) : meter;
        actions.add(new RequestAction.ReportFinished(owner, attempt, measured.createReport(outcome, nowNanos)));
    }

    void enterPhase(Phase next, long deadlineNanos) {
        phase = next;
        phaseDeadlineNanos = deadlineNanos;
    }

    void scheduleTimer() {
        long due = Math.min(phaseDeadlineNanos, record == null ? Long.MAX_VALUE : record.nextTimerNanos());
        if (phase != Phase.CLOSED && due < timerNanos) {
            timerNanos = due;
            // An action may deliver an event synchronously, which sets a newer timer that this one must not replace.
            // Therefore the timer comes first.
            actions.add(0, new RequestAction.ScheduleTimer(due));
        }
    }

    boolean inFlight() {
        return phase == Phase.SENT || phase == Phase.RESUMING;
    }

    boolean inFlightOrConnecting() {
        return inFlight() || phase == Phase.CONNECTING;
    }

    /** Processing phases of a request. */
    enum Phase {
        NEW,
        /** Waiting for the next placement: after a failure, or until an owner can be reached. */
        BACKING_OFF,
        /** Waiting for the owner's reply to the placement. */
        ENQUEUING,
        QUEUED,
        /** Waiting for the idempotency record of a granted attempt. */
        RECORDING,
        /** Connecting to the granted server; nothing was written yet. */
        CONNECTING,
        SENT,
        RESUMING,
        /** Ended for the caller; the idempotency record may still be open. */
        ENDED,
        CLOSED
    }
}
