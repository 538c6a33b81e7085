package org.coltsfootquay.decision.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.dispatch.RefusalCode;
import org.coltsfootquay.decision.idempotency.RecordAction;
import org.coltsfootquay.decision.idempotency.RecordedResponse;
import org.coltsfootquay.decision.request.FlowState.Phase;
import org.coltsfootquay.decision.timeline.EventKind;

/** Part of a flow that deals with owners: placement, queueing, grants, and the record before the send. */
final class OwnerSide {

    /** Time an owner has to answer; the dispatch thread and two network trips take a few milliseconds. */
    static final long REPLY_NANOS = Duration.ofSeconds(1).toNanos();

    /** Time beyond the patience that the owner gets to refuse by itself. */
    static final long PATIENCE_SLACK_NANOS = Duration.ofMillis(500).toNanos();

    /** Time until owners are looked for again when none can be reached. */
    static final long NO_OWNER_RETRY_NANOS = Duration.ofMillis(250).toNanos();

    private final FlowState state;

    OwnerSide(FlowState state) {
        this.state = state;
    }

    void onAdmitted(long nowNanos) {
        if (state.phase != Phase.NEW) {
            return;
        }
        state.bounds.admitted(nowNanos);
        state.environment.retries().recordRequest(state.request.service(), nowNanos);
        state.journal.note(EventKind.REQUEST_ADMITTED, state.attempt);
        place(Optional.empty(), nowNanos);
    }

    /** Queues the request at an owner: the preferred one, else the one that placement chooses. */
    void place(Optional<RouterId> preferred, long nowNanos) {
        state.grant = null;
        state.meter = null;
        Optional<ErrorCode> obstacle = state.bounds.placementObstacle(nowNanos);
        if (obstacle.isPresent()) {
            boolean elsewhere = obstacle.get() == ErrorCode.ROUTER_CUT_OFF;
            state.end(obstacle.get(), elsewhere ? Duration.ZERO : FlowState.DEFAULT_RETRY_AFTER, nowNanos);
            return;
        }
        Optional<RouterId> chosen = state.bounds.owner(preferred, nowNanos);
        if (chosen.isEmpty()) {
            state.enter(Phase.WAITING, Math.min(state.bounds.patienceEndNanos(), nowNanos + NO_OWNER_RETRY_NANOS));
            return;
        }
        state.owner = chosen.get();
        state.attempt = state.attempt == null ? new RequestAttempt(state.request.id(), 1) : state.attempt.next();
        state.actions.add(state.bounds.enqueue(state.owner, state.attempt, state.answer.next() > 0, nowNanos));
        state.journal.note(EventKind.REQUEST_FORWARDED, state.attempt, "owner", state.owner);
        state.enter(Phase.ASKED, nowNanos + REPLY_NANOS);
    }

    void onQueued(RequestEvent.OwnerQueued queued, long nowNanos) {
        if (state.phase == Phase.ASKED) {
            state.environment
                    .owners()
                    .recordWaitTime(state.request.service(), state.owner, queued.estimatedWait(), nowNanos);
            state.enter(Phase.QUEUED, state.bounds.patienceEndNanos() + PATIENCE_SLACK_NANOS);
        }
    }

    void onGranted(RequestEvent.OwnerGranted granted, long nowNanos) {
        boolean current = granted.attempt().equals(state.attempt);
        boolean awaited = current && (state.phase == Phase.ASKED || state.phase == Phase.QUEUED);
        if (!awaited) {
            boolean repeated = current && state.grant != null;
            if (!repeated) {
                state.actions.add(
                        new RequestAction.WithdrawFromOwner(granted.owner(), granted.attempt(), "attempt superseded"));
            }
            return;
        }
        state.environment
                .owners()
                .recordWaitTime(state.request.service(), state.owner, granted.estimatedWait(), nowNanos);
        state.environment.owners().recordPrefixServed(granted.server(), state.request.prefixHashes());
        state.owner = granted.owner();
        state.grant = new Grant(
                granted.server(),
                granted.address(),
                granted.fencingNumber(),
                nowNanos + granted.startWithin().toNanos());
        useGrant(nowNanos);
    }

    void useGrant(long nowNanos) {
        Optional<ErrorCode> obstacle = state.grant.obstacle(state.environment, nowNanos);
        if (obstacle.isPresent()) {
            giveGrantBack(obstacle.get(), nowNanos);
        } else if (state.record != null && !state.record.isHeld()) {
            state.enter(Phase.RECORDING, Long.MAX_VALUE);
            recordSteps(state.record.start(nowNanos), nowNanos);
        } else {
            state.enter(Phase.OPENING, nowNanos + ServerSide.SILENCE_NANOS);
            state.actions.add(new RequestAction.OpenOnServer(
                    state.attempt,
                    state.grant.server(),
                    state.grant.address(),
                    state.grant.fencingNumber(),
                    state.answer.tokenTexts()));
        }
    }

    void giveGrantBack(ErrorCode obstacle, long nowNanos) {
        state.withdraw("grant not used: " + obstacle.label());
        if (obstacle == ErrorCode.NO_CAPACITY) {
            state.bounds.exclude(state.grant.server());
        }
        if (obstacle == ErrorCode.ROUTER_CUT_OFF) {
            state.end(obstacle, Duration.ZERO, nowNanos);
        } else if (obstacle == ErrorCode.GRANT_LAPSED && !state.bounds.anotherGrantMayLapse()) {
            state.end(obstacle, FlowState.DEFAULT_RETRY_AFTER, nowNanos);
        } else {
            place(Optional.of(state.owner), nowNanos);
        }
    }

    void onRefused(RequestEvent.OwnerRefused refused, long nowNanos) {
        if (state.phase != Phase.ASKED && state.phase != Phase.QUEUED) {
            return;
        }
        boolean elsewhere = refused.code() == RefusalCode.NOT_OWNER || refused.code() == RefusalCode.STOPPING;
        if (elsewhere) {
            state.bounds.exclude(state.owner);
            place(Optional.empty(), nowNanos);
            return;
        }
        state.environment.owners().recordWaitTime(state.request.service(), state.owner, refused.retryAfter(), nowNanos);
        if (state.mayHaveRun && tryElsewhere(nowNanos)) {
            return;
        }
        ErrorCode code = refused.code() == RefusalCode.WORKSPACE_QUEUE_FULL
                ? ErrorCode.WORKSPACE_QUEUE_FULL
                : ErrorCode.PATIENCE_EXCEEDED;
        state.end(code, refused.retryAfter(), nowNanos);
    }

    /** Lets a request that was sent before go on at another owner, within the retry budget. */
    private boolean tryElsewhere(long nowNanos) {
        long delay = state.bounds.retryDelay(state.answer.next() > 0, nowNanos);
        if (delay < 0) {
            return false;
        }
        state.bounds.exclude(state.owner);
        state.bounds.startOver(nowNanos);
        state.enter(Phase.WAITING, nowNanos + delay);
        return true;
    }

    void onRedirected(RequestEvent.OwnerRedirected redirected, long nowNanos) {
        if (state.phase == Phase.ASKED || state.phase == Phase.QUEUED) {
            place(Optional.of(redirected.to()), nowNanos);
        }
    }

    void onOwnerLost(RouterId lost, long nowNanos) {
        if (lost.equals(state.owner) && (state.phase == Phase.ASKED || state.phase == Phase.QUEUED)) {
            leaveOwner(nowNanos);
        }
    }

    void onServerMoved(RequestEvent.ServerMoved moved) {
        if (state.inFlight() && state.grant.server().equals(moved.server())) {
            state.owner = moved.owner();
        }
    }

    void leaveOwner(long nowNanos) {
        state.withdraw("owner does not answer");
        state.environment.owners().recordUnreachable(state.owner, nowNanos);
        state.bounds.exclude(state.owner);
        place(Optional.empty(), nowNanos);
    }

    /** Handles the steps of the record: the request is sent, answered from the record, or refused. */
    void recordSteps(List<RecordAction> steps, long nowNanos) {
        for (RecordAction step : steps) {
            boolean awaited = state.phase == Phase.RECORDING;
            if (step instanceof RecordAction.Held && awaited) {
                state.journal.note(EventKind.RECORD_CREATED, state.attempt);
                useGrant(nowNanos);
            } else if (step instanceof RecordAction.Replayed replayed && awaited) {
                state.withdraw("answer is recorded");
                RecordedResponse recorded = replayed.response();
                state.answer.give(recorded.status(), recorded.headers(), recorded.body(), state.actions);
                state.finishWithoutAnswer(nowNanos);
            } else if (step instanceof RecordAction.Denied denied && awaited) {
                state.withdraw("record: " + denied.reason());
                ErrorCode code = ErrorCode.valueOf(denied.reason().name());
                boolean retryLater = code == ErrorCode.IN_PROGRESS || code == ErrorCode.STORE_UNREACHABLE;
                state.end(code, retryLater ? FlowState.DEFAULT_RETRY_AFTER : Duration.ZERO, nowNanos);
            } else {
                state.store(List.of(step));
            }
        }
    }
}
