package org.coltsfootquay.decision.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.dispatch.EndReport.Outcome;
import org.coltsfootquay.decision.dispatch.RefusalCode;
import org.coltsfootquay.decision.idempotency.RecordMachine;
import org.coltsfootquay.decision.idempotency.RecordStep;
import org.coltsfootquay.decision.idempotency.RecordedAnswer;
import org.coltsfootquay.decision.request.ErrorReply.Execution;
import org.coltsfootquay.decision.request.RequestEvent.ServerDeclined.Statement;
import org.coltsfootquay.decision.timeline.EventKind;

/**
 * Course of one request at its entry router.
 *
 * <p>Not thread-safe: one thread drives a flow, and calls {@link #maySend} on the same thread as {@link #handle}. The
 * flow ends with {@link RequestAction.Close}.
 */
public final class RequestFlow {

    /** Time an owner has to answer; the dispatch thread and two network trips take a few milliseconds. */
    static final long OWNER_REPLY_NANOS = Duration.ofSeconds(1).toNanos();

    /** Time beyond the patience that the owner gets to refuse by itself. */
    static final long PATIENCE_SLACK_NANOS = Duration.ofMillis(500).toNanos();

    /** Time without any event from the server after which its connection counts as broken. */
    static final long SERVER_SILENCE_NANOS = Duration.ofSeconds(60).toNanos();

    /** Time until owners are looked for again when none can be reached. */
    static final long NO_OWNER_RETRY_NANOS = Duration.ofMillis(250).toNanos();

    private static final int SERVER_ERROR = 500;
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private final CallerRequest request;
    private final RequestEnvironment environment;
    private final CallerAnswer answer;
    private final FlowJournal journal;
    private final RecordMachine record;
    private final FlowBounds bounds;
    private Phase phase = Phase.NEW;
    private RequestAttempt attempt;
    private RouterId owner;
    private Grant grant;
    private AttemptMeter meter;
    private long dueNanos = Long.MAX_VALUE;
    private long scheduledNanos = Long.MAX_VALUE;
    private boolean resumedWithoutProgress;
    private boolean mayHaveRun;
    private boolean callerGone;
    private List<RequestAction> actions = new ArrayList<>(4);

    /**
     * Creates the flow of a request.
     *
     * @param request request
     * @param environment what the flows of the router share
     */
    public RequestFlow(CallerRequest request, RequestEnvironment environment) {
        this.request = ArgumentUtils.requireValue(request, "request");
        this.environment = ArgumentUtils.requireValue(environment, "environment");
        this.answer = new CallerAnswer(request);
        this.bounds = new FlowBounds(request, environment);
        this.journal = new FlowJournal(request, environment.timeline());
        this.record = request.once() ? FlowRecords.create(request, environment) : null;
    }

    /**
     * Handles an event.
     *
     * @param event event
     * @param nowNanos current time of the monotonic clock
     * @return actions in the order in which they must be carried out
     */
    public List<RequestAction> handle(RequestEvent event, long nowNanos) {
        actions = new ArrayList<>(4);
        if (event instanceof RequestEvent.OwnerGranted granted) {
            onGranted(granted, nowNanos);
        } else if (event instanceof RequestEvent.RecordWritten written && record != null) {
            onRecord(record.written(written.sequence(), written.result(), nowNanos), nowNanos);
        } else if (event instanceof RequestEvent.RecordRead read && record != null) {
            onRecord(record.read(read.sequence(), read.result(), nowNanos), nowNanos);
        } else if (event instanceof RequestEvent.TimePassed) {
            onTime(nowNanos);
        } else if (phase != Phase.ENDED) {
            onEvent(event, nowNanos);
        }
        scheduleTimer();
        List<RequestAction> result = Collections.unmodifiableList(actions);
        environment.observer().handled(request, event, result, nowNanos);
        return result;
    }

    /**
     * Checks just before the first byte of an attempt is written to its server: the grant has not lapsed, server and
     * zone admit work in the configuration in force, the router is not cut off, and the caller still waits.
     *
     * @param opened attempt that was opened
     * @param nowNanos current time of the monotonic clock
     * @return true if the client may write
     */
    public boolean maySend(RequestAttempt opened, long nowNanos) {
        return phase == Phase.OPENING
                && opened.equals(attempt)
                && !callerGone
                && grant.obstacle(environment, nowNanos).isEmpty();
    }

    /**
     * Tells whether the flow needs no further events.
     *
     * @return true after {@link RequestAction.Close}
     */
    public boolean isClosed() {
        return phase == Phase.CLOSED;
    }

    /**
     * Tells whether the caller received an end or left, so that nothing but the record is still worked on.
     *
     * @return true if the end of the process would interrupt nobody
     */
    public boolean isAnswered() {
        return phase == Phase.ENDED || phase == Phase.CLOSED;
    }

    /**
     * Returns the request.
     *
     * @return request
     */
    public CallerRequest request() {
        return request;
    }

    /**
     * Returns the server that executes the request now, for reports to a new owner of the server.
     *
     * @return server, or empty while nothing is in flight
     */
    public Optional<ServerName> inFlightOn() {
        return inFlight() ? Optional.of(grant.server()) : Optional.empty();
    }

    /**
     * Returns the current attempt.
     *
     * @return attempt, or empty before the first placement
     */
    public Optional<RequestAttempt> attempt() {
        return Optional.ofNullable(attempt);
    }

    private void onEvent(RequestEvent event, long nowNanos) {
        if (event instanceof RequestEvent.OfAttempt about && !about.attempt().equals(attempt)) {
            return;
        }
        if (event instanceof RequestEvent.Admitted) {
            onAdmitted(nowNanos);
        } else if (event instanceof RequestEvent.CallerGone) {
            onCallerGone(nowNanos);
        } else if (event instanceof RequestEvent.OwnerLost lost) {
            onOwnerLost(lost.owner(), nowNanos);
        } else if (event instanceof RequestEvent.ServerMoved moved) {
            onServerMoved(moved);
        } else if (event instanceof RequestEvent.OwnerQueued queued) {
            onQueued(queued, nowNanos);
        } else if (event instanceof RequestEvent.OwnerRefused refused) {
            onRefused(refused, nowNanos);
        } else if (event instanceof RequestEvent.OwnerRedirected redirected) {
            onRedirected(redirected, nowNanos);
        } else if (event instanceof RequestEvent.OwnerPreempted) {
            onPreempted(nowNanos);
        } else if (event instanceof RequestEvent.SendStarted) {
            onSendStarted(nowNanos);
        } else if (event instanceof RequestEvent.SendAbandoned) {
            onSendAbandoned(nowNanos);
        } else if (event instanceof RequestEvent.ConnectFailed) {
            onConnectFailed(nowNanos);
        } else if (inFlight()) {
            onAnswerEvent(event, nowNanos);
        }
    }

    private void onAnswerEvent(RequestEvent event, long nowNanos) {
        if (event instanceof RequestEvent.ServerDeclined declined) {
            onDeclined(declined.statement(), nowNanos);
        } else if (event instanceof RequestEvent.HeadReceived head) {
            onHead(head, nowNanos);
        } else if (event instanceof RequestEvent.PartReceived part) {
            onPart(part, nowNanos);
        } else if (event instanceof RequestEvent.AnswerEnded ended) {
            onEnd(ended, nowNanos);
        } else if (event instanceof RequestEvent.StreamFailed) {
            sendElsewhere(Outcome.FAILED, ErrorCode.SERVER_FAILED, nowNanos);
        } else if (event instanceof RequestEvent.ConnectionBroken) {
            onBroken(nowNanos);
        }
    }

    private void onAdmitted(long nowNanos) {
        if (phase != Phase.NEW) {
            return;
        }
        bounds.admitted(nowNanos);
        environment.retries().requestArrived(request.service(), nowNanos);
        journal.note(EventKind.REQUEST_ADMITTED, attempt);
        place(Optional.empty(), nowNanos);
    }

    /** Queues the request at an owner: the preferred one, else the one that placement chooses. */
    private void place(Optional<RouterId> preferred, long nowNanos) {
        grant = null;
        meter = null;
        Optional<ErrorCode> obstacle = bounds.placementObstacle(nowNanos);
        if (obstacle.isPresent()) {
            boolean elsewhere = obstacle.get() == ErrorCode.ROUTER_CUT_OFF;
            end(obstacle.get(), elsewhere ? Duration.ZERO : DEFAULT_RETRY_AFTER, nowNanos);
            return;
        }
        Optional<RouterId> chosen = bounds.owner(preferred, nowNanos);
        if (chosen.isEmpty()) {
            enter(Phase.WAITING, Math.min(bounds.patienceEndNanos(), nowNanos + NO_OWNER_RETRY_NANOS));
            return;
        }
        owner = chosen.get();
        attempt = attempt == null ? new RequestAttempt(request.id(), 1) : attempt.next();
        actions.add(bounds.enqueue(owner, attempt, answer.next() > 0, nowNanos));
        journal.note(EventKind.REQUEST_FORWARDED, attempt, "owner", owner);
        enter(Phase.ASKED, nowNanos + OWNER_REPLY_NANOS);
    }

    private void onQueued(RequestEvent.OwnerQueued queued, long nowNanos) {
        if (phase == Phase.ASKED) {
            environment.owners().waitObserved(request.service(), owner, queued.estimatedWait(), nowNanos);
            enter(Phase.QUEUED, bounds.patienceEndNanos() + PATIENCE_SLACK_NANOS);
        }
    }

    private void onGranted(RequestEvent.OwnerGranted granted, long nowNanos) {
        boolean current = granted.attempt().equals(attempt);
        boolean awaited = current && (phase == Phase.ASKED || phase == Phase.QUEUED);
        if (!awaited) {
            boolean repeated = current && grant != null;
            if (!repeated) {
                actions.add(
                        new RequestAction.WithdrawFromOwner(granted.owner(), granted.attempt(), "attempt superseded"));
            }
            return;
        }
        environment.owners().waitObserved(request.service(), owner, granted.estimatedWait(), nowNanos);
        environment.owners().prefixServed(granted.server(), request.prefixHashes());
        owner = granted.owner();
        grant = new Grant(
                granted.server(),
                granted.address(),
                granted.fencingNumber(),
                nowNanos + granted.startWithin().toNanos());
        useGrant(nowNanos);
    }

    private void useGrant(long nowNanos) {
        Optional<ErrorCode> obstacle = grant.obstacle(environment, nowNanos);
        if (obstacle.isPresent()) {
            giveGrantBack(obstacle.get(), nowNanos);
        } else if (record != null && !record.isHeld()) {
            enter(Phase.RECORDING, Long.MAX_VALUE);
            onRecord(record.begin(nowNanos), nowNanos);
        } else {
            enter(Phase.OPENING, Long.MAX_VALUE);
            actions.add(new RequestAction.OpenOnServer(
                    attempt, grant.server(), grant.address(), grant.fencingNumber(), answer.tokenTexts()));
        }
    }

    private void giveGrantBack(ErrorCode obstacle, long nowNanos) {
        withdraw("grant not used: " + obstacle.label());
        if (obstacle == ErrorCode.NO_CAPACITY) {
            bounds.exclude(grant.server());
        }
        if (obstacle == ErrorCode.ROUTER_CUT_OFF) {
            end(obstacle, Duration.ZERO, nowNanos);
        } else if (obstacle == ErrorCode.GRANT_LAPSED && !bounds.anotherGrantMayLapse()) {
            end(obstacle, DEFAULT_RETRY_AFTER, nowNanos);
        } else {
            place(Optional.of(owner), nowNanos);
        }
    }

    private void onRefused(RequestEvent.OwnerRefused refused, long nowNanos) {
        if (phase != Phase.ASKED && phase != Phase.QUEUED) {
            return;
        }
        boolean elsewhere = refused.code() == RefusalCode.NOT_OWNER || refused.code() == RefusalCode.STOPPING;
        if (elsewhere) {
            bounds.exclude(owner);
            place(Optional.empty(), nowNanos);
            return;
        }
        environment.owners().waitObserved(request.service(), owner, refused.retryAfter(), nowNanos);
        ErrorCode code = refused.code() == RefusalCode.WORKSPACE_QUEUE_FULL
                ? ErrorCode.WORKSPACE_QUEUE_FULL
                : ErrorCode.PATIENCE_EXCEEDED;
        end(code, refused.retryAfter(), nowNanos);
    }

    private void onRedirected(RequestEvent.OwnerRedirected redirected, long nowNanos) {
        if (phase == Phase.ASKED || phase == Phase.QUEUED) {
            place(Optional.of(redirected.to()), nowNanos);
        }
    }

    private void onOwnerLost(RouterId lost, long nowNanos) {
        if (lost.equals(owner) && (phase == Phase.ASKED || phase == Phase.QUEUED)) {
            leaveOwner(nowNanos);
        }
    }

    private void onServerMoved(RequestEvent.ServerMoved moved) {
        if (inFlight() && grant.server().equals(moved.server())) {
            owner = moved.owner();
        }
    }

    private void leaveOwner(long nowNanos) {
        withdraw("owner does not answer");
        environment.owners().unreachable(owner, nowNanos);
        bounds.exclude(owner);
        place(Optional.empty(), nowNanos);
    }

    private void onPreempted(long nowNanos) {
        if (request.once() || !inFlightOrOpening() || !answer.isContinuable()) {
            // It runs to its end: running it again, or passing its parts again, would break G5 or G7.
            return;
        }
        cancelOnServer();
        reportFinished(Outcome.CANCELLED, nowNanos);
        mayHaveRun = true;
        journal.note(EventKind.REQUEST_PREEMPTED, attempt, "server", grant.server());
        startOver(nowNanos);
        place(Optional.of(owner), nowNanos);
    }

    private void onSendStarted(long nowNanos) {
        if (phase != Phase.OPENING) {
            return;
        }
        long inputUnits = answer.next() > 0 ? 0 : request.estimatedInputUnits();
        meter = new AttemptMeter(request.kind(), inputUnits, nowNanos);
        resumedWithoutProgress = false;
        actions.add(new RequestAction.ReportStarted(owner, attempt));
        journal.note(EventKind.REQUEST_DISPATCHED, attempt, "server", grant.server(), "fencing", grant.fencingNumber());
        enter(Phase.SENT, nowNanos + SERVER_SILENCE_NANOS);
    }

    private void onSendAbandoned(long nowNanos) {
        if (phase != Phase.OPENING) {
            return;
        }
        if (callerGone) {
            withdraw("caller gone");
            finishWithoutAnswer(nowNanos);
        } else {
            giveGrantBack(grant.obstacle(environment, nowNanos).orElse(ErrorCode.GRANT_LAPSED), nowNanos);
        }
    }

    private void onConnectFailed(long nowNanos) {
        if (phase == Phase.OPENING) {
            if (callerGone) {
                withdraw("caller gone");
                finishWithoutAnswer(nowNanos);
                return;
            }
            meter = new AttemptMeter(request.kind(), 0, nowNanos);
            retry(Outcome.BROKEN, ErrorCode.CONNECT_FAILED, false, nowNanos);
        } else if (inFlight()) {
            sendElsewhere(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
        }
    }

    private void onDeclined(Statement statement, long nowNanos) {
        boolean cold = statement == Statement.COLD;
        ErrorCode code = cold ? ErrorCode.SERVER_COLD : ErrorCode.SERVER_FENCED;
        if (phase == Phase.RESUMING || answer.headSeen()) {
            sendElsewhere(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
        } else if (callerGone) {
            reportFinished(cold ? Outcome.COLD : Outcome.FENCED, nowNanos);
            phase = Phase.WAITING;
            finishWithoutAnswer(nowNanos);
        } else {
            retry(cold ? Outcome.COLD : Outcome.FENCED, code, false, nowNanos);
        }
    }

    private void onHead(RequestEvent.HeadReceived head, long nowNanos) {
        boolean hasTokens = answer.tokens() && answer.next() > 0;
        boolean failed = head.status() >= SERVER_ERROR && !request.once();
        if (phase == Phase.RESUMING ? head.status() != 200 : hasTokens && head.status() != 200) {
            cancelOnServer();
            sendElsewhere(Outcome.FAILED, ErrorCode.SERVER_FAILED, nowNanos);
            return;
        }
        if (failed && !answer.started()) {
            long delay = retryDelay(nowNanos);
            if (delay >= 0) {
                cancelOnServer();
                reportFinished(Outcome.FAILED, nowNanos);
                mayHaveRun = true;
                bounds.failed(ErrorCode.SERVER_FAILED, grant.server());
                waitAndPlace(delay, nowNanos);
                return;
            }
        }
        answer.head(head.status(), head.headers());
        enter(Phase.SENT, nowNanos + SERVER_SILENCE_NANOS);
    }

    private void onPart(RequestEvent.PartReceived part, long nowNanos) {
        if (part.position() < answer.next()) {
            return;
        }
        if (!answer.headSeen() || part.position() > answer.next()) {
            cancelOnServer();
            sendElsewhere(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
            return;
        }
        if (answer.next() == 0) {
            journal.note(EventKind.REQUEST_FIRST_OUTPUT, attempt, "server", grant.server());
        }
        resumedWithoutProgress = false;
        meter.part(answer.tokens(), nowNanos);
        answer.part(part.data(), actions);
        if (answer.isTooLarge()) {
            cancelOnServer();
            reportFinished(Outcome.CANCELLED, nowNanos);
            mayHaveRun = true;
            end(ErrorCode.ANSWER_TOO_LARGE, Duration.ZERO, nowNanos);
            return;
        }
        dueNanos = nowNanos + SERVER_SILENCE_NANOS;
        if (meter.reportDue(nowNanos)) {
            actions.add(new RequestAction.ReportProgress(
                    owner, attempt, meter.takeUnits(nowNanos), meter.takeWorstMillis()));
        }
    }

    private void onEnd(RequestEvent.AnswerEnded ended, long nowNanos) {
        boolean complete = answer.headSeen() && (ended.total() < 0 || ended.total() == answer.next());
        if (!complete) {
            onBroken(nowNanos);
            return;
        }
        boolean failed = answer.status() >= SERVER_ERROR;
        reportFinished(failed ? Outcome.FAILED : Outcome.COMPLETED, nowNanos);
        answer.finish(ended.trailer(), actions);
        journal.note(
                failed ? EventKind.REQUEST_FAILED : EventKind.REQUEST_COMPLETED, attempt, "status", answer.status());
        enter(Phase.ENDED, Long.MAX_VALUE);
        if (record != null) {
            RecordedAnswer recorded = new RecordedAnswer(answer.status(), answer.headers(), answer.bytes());
            onRecord(record.finished(recorded, nowNanos), nowNanos);
        }
        closeWhenSettled();
    }

    private void onBroken(long nowNanos) {
        boolean resumable = request.kind() == ServiceKind.MODEL
                && (!answer.headSeen() || answer.tokens())
                && !resumedWithoutProgress;
        if (resumable) {
            long delay = retryDelay(nowNanos);
            if (delay >= 0) {
                resumedWithoutProgress = true;
                answer.restart();
                journal.note(EventKind.REQUEST_RESUMED, attempt, "server", grant.server(), "from", answer.next());
                actions.add(new RequestAction.ResumeOnServer(
                        attempt, grant.server(), grant.address(), grant.fencingNumber(), answer.next()));
                enter(Phase.RESUMING, nowNanos + SERVER_SILENCE_NANOS);
                return;
            }
        }
        sendElsewhere(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
    }

    /** Sends the rest of a request elsewhere after an attempt that may have run. */
    private void sendElsewhere(Outcome outcome, ErrorCode failure, long nowNanos) {
        retry(outcome, failure, true, nowNanos);
    }

    private void retry(Outcome outcome, ErrorCode failure, boolean attemptMayHaveRun, long nowNanos) {
        reportFinished(outcome, nowNanos);
        mayHaveRun |= attemptMayHaveRun;
        bounds.failed(failure, grant.server());
        if (mayHaveRun && request.once()) {
            end(ErrorCode.OUTCOME_UNKNOWN, Duration.ZERO, nowNanos);
            return;
        }
        long delay = answer.isContinuable() ? retryDelay(nowNanos) : -1;
        if (delay < 0) {
            end(failure, DEFAULT_RETRY_AFTER, nowNanos);
        } else {
            waitAndPlace(delay, nowNanos);
        }
    }

    private long retryDelay(long nowNanos) {
        return callerGone ? -1 : bounds.retryDelay(answer.next() > 0, nowNanos);
    }

    private void waitAndPlace(long delayNanos, long nowNanos) {
        journal.note(EventKind.REQUEST_RETRIED, attempt, "server", grant.server(), "retry", bounds.retries());
        startOver(nowNanos);
        enter(Phase.WAITING, nowNanos + delayNanos);
    }

    private void startOver(long nowNanos) {
        answer.restart();
        bounds.startOver(nowNanos);
    }

    private void onCallerGone(long nowNanos) {
        if (callerGone) {
            return;
        }
        callerGone = true;
        answer.callerGone();
        journal.note(EventKind.REQUEST_CANCELLED, attempt);
        if (request.once() && inFlightOrOpening()) {
            // The request may run; its answer is recorded for the caller's next attempt.
            return;
        }
        if (inFlightOrOpening()) {
            cancelOnServer();
            reportFinished(Outcome.CANCELLED, nowNanos);
        } else if (phase == Phase.ASKED || phase == Phase.QUEUED || phase == Phase.RECORDING) {
            withdraw("caller gone");
        }
        finishWithoutAnswer(nowNanos);
    }

    private void finishWithoutAnswer(long nowNanos) {
        enter(Phase.ENDED, Long.MAX_VALUE);
        if (record != null) {
            onRecord(mayHaveRun ? record.outcomeUnknown(nowNanos) : record.notRun(nowNanos), nowNanos);
        }
        closeWhenSettled();
    }

    private void onTime(long nowNanos) {
        scheduledNanos = Long.MAX_VALUE;
        if (record != null) {
            onRecord(record.timePassed(nowNanos), nowNanos);
        }
        if (nowNanos < dueNanos) {
            return;
        }
        dueNanos = Long.MAX_VALUE;
        switch (phase) {
            case WAITING -> place(Optional.empty(), nowNanos);
            case ASKED -> leaveOwner(nowNanos);
            case QUEUED -> {
                withdraw("patience exceeded");
                end(ErrorCode.PATIENCE_EXCEEDED, DEFAULT_RETRY_AFTER, nowNanos);
            }
            case SENT, RESUMING -> {
                cancelOnServer();
                sendElsewhere(Outcome.BROKEN, ErrorCode.CONNECTION_BROKEN, nowNanos);
            }
            default -> {}
        }
    }

    private void onRecord(List<RecordStep> steps, long nowNanos) {
        for (RecordStep step : steps) {
            if (step instanceof RecordStep.Write write) {
                actions.add(new RequestAction.WriteRecord(write.sequence(), write.write()));
            } else if (step instanceof RecordStep.Read read) {
                actions.add(new RequestAction.ReadRecord(read.sequence(), read.key()));
            } else if (step instanceof RecordStep.Held && phase == Phase.RECORDING) {
                journal.note(EventKind.RECORD_CREATED, attempt);
                useGrant(nowNanos);
            } else if (step instanceof RecordStep.Replayed replayed && phase == Phase.RECORDING) {
                withdraw("answer is recorded");
                RecordedAnswer recorded = replayed.answer();
                answer.give(recorded.status(), recorded.headers(), recorded.body(), actions);
                finishWithoutAnswer(nowNanos);
            } else if (step instanceof RecordStep.Denied denied && phase == Phase.RECORDING) {
                withdraw("record: " + denied.reason());
                ErrorCode code = ErrorCode.valueOf(denied.reason().name());
                boolean retryLater = code == ErrorCode.IN_PROGRESS || code == ErrorCode.STORE_UNREACHABLE;
                end(code, retryLater ? DEFAULT_RETRY_AFTER : Duration.ZERO, nowNanos);
            } else if (step instanceof RecordStep.Settled) {
                journal.note(EventKind.RECORD_COMPLETED, attempt);
                closeWhenSettled();
            }
        }
    }

    private void end(ErrorCode code, Duration retryAfter, long nowNanos) {
        boolean otherAttemptRan = code == ErrorCode.IN_PROGRESS
                || code == ErrorCode.OUTCOME_UNKNOWN
                || code == ErrorCode.ANSWER_NOT_RECORDED;
        Execution execution = mayHaveRun || otherAttemptRan ? Execution.UNKNOWN : Execution.NOT_RUN;
        answer.fail(new ErrorReply(code, execution, code.message(), retryAfter), actions);
        journal.note(
                execution == Execution.NOT_RUN ? EventKind.REQUEST_REFUSED : EventKind.REQUEST_FAILED,
                attempt,
                "reason",
                code.label());
        finishWithoutAnswer(nowNanos);
    }

    private void closeWhenSettled() {
        if (phase == Phase.ENDED && (record == null || !record.isBusy())) {
            phase = Phase.CLOSED;
            actions.add(new RequestAction.Close());
        }
    }

    private void withdraw(String reason) {
        actions.add(new RequestAction.WithdrawFromOwner(owner, attempt, reason));
    }

    private void cancelOnServer() {
        actions.add(new RequestAction.CancelOnServer(attempt, grant.server(), grant.address()));
    }

    private void reportFinished(Outcome outcome, long nowNanos) {
        AttemptMeter measured = meter == null ? new AttemptMeter(request.kind(), 0, nowNanos) : meter;
        actions.add(new RequestAction.ReportFinished(owner, attempt, measured.end(outcome, nowNanos)));
    }

    private void enter(Phase next, long due) {
        phase = next;
        dueNanos = due;
    }

    private void scheduleTimer() {
        long due = Math.min(dueNanos, record == null ? Long.MAX_VALUE : record.wakeNanos());
        if (phase != Phase.CLOSED && due < scheduledNanos) {
            scheduledNanos = due;
            // First, so that it never replaces a newer timer of an event that an action delivers at once.
            actions.add(0, new RequestAction.ScheduleTimer(due));
        }
    }

    private boolean inFlight() {
        return phase == Phase.SENT || phase == Phase.RESUMING;
    }

    private boolean inFlightOrOpening() {
        return inFlight() || phase == Phase.OPENING;
    }

    private enum Phase {
        NEW,
        WAITING,
        ASKED,
        QUEUED,
        RECORDING,
        OPENING,
        SENT,
        RESUMING,
        ENDED,
        CLOSED
    }
}
