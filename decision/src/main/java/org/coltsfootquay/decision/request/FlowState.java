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

/** State of a request that the owner side and the server side of its flow share, and the ways in which it ends. */
final class FlowState {

    /** Time after which a retry has a chance when the owner named none. */
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

    /** Passes the writes and reads of the record on, and closes the flow when the ending is recorded. */
    void addRecordActions(List<RecordAction> steps) {
        for (RecordAction step : steps) {
            if (step instanceof RecordAction.Write write) {
                actions.add(new RequestAction.WriteRecord(write.sequence(), write.write()));
            } else if (step instanceof RecordAction.Read read) {
                actions.add(new RequestAction.ReadRecord(read.sequence(), read.key()));
            } else if (step instanceof RecordAction.Finalized) {
                timeline.record(EventKind.RECORD_COMPLETED, attempt);
                closeIfRecorded();
            }
        }
    }

    void endWithError(ErrorCode code, Duration retryAfter, long nowNanos) {
        boolean otherAttemptRan = code == ErrorCode.IN_PROGRESS
                || code == ErrorCode.OUTCOME_UNKNOWN
                || code == ErrorCode.ANSWER_NOT_RECORDED;
        Execution execution = mayHaveRun || otherAttemptRan ? Execution.UNKNOWN : Execution.NOT_RUN;
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

    void enterPhase(Phase next, long due) {
        phase = next;
        phaseDeadlineNanos = due;
    }

    void scheduleTimer() {
        long due = Math.min(phaseDeadlineNanos, record == null ? Long.MAX_VALUE : record.nextTimerNanos());
        if (phase != Phase.CLOSED && due < timerNanos) {
            timerNanos = due;
            // First, so that it never replaces a newer timer of an event that an action delivers at once.
            actions.add(0, new RequestAction.ScheduleTimer(due));
        }
    }

    boolean inFlight() {
        return phase == Phase.SENT || phase == Phase.RESUMING;
    }

    boolean inFlightOrConnecting() {
        return inFlight() || phase == Phase.CONNECTING;
    }

    /** Where the request stands. */
    enum Phase {
        NEW,
        BACKING_OFF,
        ENQUEUING,
        QUEUED,
        RECORDING,
        CONNECTING,
        SENT,
        RESUMING,
        ENDED,
        CLOSED
    }
}
