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

/** Handles the events of owners: placement, queueing, grants, and the idempotency record written before the send. */
final class OwnerEventHandler {

    /** Time that an owner has to reply; the dispatch thread and two network hops take a few milliseconds. */
    static final long REPLY_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    /** Time after the end of the patience in which the owner may still refuse the request itself. */
    static final long PATIENCE_MARGIN_NANOS = Duration.ofMillis(500).toNanos();

    /** Delay until the next placement when no owner can be reached. */
    static final long NO_OWNER_RETRY_NANOS = Duration.ofMillis(250).toNanos();

    private final FlowState state;

    OwnerEventHandler(FlowState state) {
        this.state = state;
    }

    void onAdmitted(long nowNanos) {
        if (state.phase != Phase.NEW) {
            return;
        }
        state.limits.start(nowNanos);
        state.environment.retryPolicy().recordRequest(state.request.service(), nowNanos);
        state.timeline.record(EventKind.REQUEST_ADMITTED, state.attempt);
        place(Optional.empty(), nowNanos);
    }

    /** Queues the request at the preferred owner, or else at the one that the owner selector chooses. */
    void place(Optional<RouterId> preferred, long nowNanos) {
        state.grant = null;
        state.meter = null;
        Optional<ErrorCode> error = state.limits.validatePlacement(nowNanos);
        if (error.isPresent()) {
            boolean isolated = error.get() == ErrorCode.ROUTER_CUT_OFF;
            state.endWithError(error.get(), isolated ? Duration.ZERO : FlowState.DEFAULT_RETRY_AFTER, nowNanos);
            return;
        }
        Optional<RouterId> chosen = state.limits.selectOwner(preferred, nowNanos);
        if (chosen.isEmpty()) {
            state.enterPhase(
                    Phase.BACKING_OFF, Math.min(state.limits.patienceEndNanos(), nowNanos + NO_OWNER_RETRY_NANOS));
            return;
        }
        state.owner = chosen.get();
        state.attempt = state.attempt == null ? new RequestAttempt(state.request.id(), 1) : state.attempt.next();
        state.actions.add(state.limits.createEnqueueAction(
                state.owner, state.attempt, state.response.nextPosition() > 0, nowNanos));
        state.timeline.record(EventKind.REQUEST_FORWARDED, state.attempt, "owner", state.owner);
        state.enterPhase(Phase.ENQUEUING, nowNanos + REPLY_TIMEOUT_NANOS);
    }

    void onQueued(RequestEvent.OwnerQueued queued, long nowNanos) {
        if (state.phase == Phase.ENQUEUING) {
            state.environment
                    .ownerSelector()
                    .recordWaitTime(state.request.service(), state.owner, queued.estimatedWait(), nowNanos);
            state.enterPhase(Phase.QUEUED, state.limits.patienceEndNanos() + PATIENCE_MARGIN_NANOS);
        }
    }

    void onGranted(RequestEvent.OwnerGranted granted, long nowNanos) {
        boolean current = granted.attempt().equals(state.attempt);
        boolean awaited = current && (state.phase == Phase.ENQUEUING || state.phase == Phase.QUEUED);
        if (!awaited) {
            boolean repeated = current && state.grant != null;
            if (!repeated) {
                state.actions.add(
                        new RequestAction.WithdrawFromOwner(granted.owner(), granted.attempt(), "attempt superseded"));
            }
            return;
        }
        state.environment
                .ownerSelector()
                .recordWaitTime(state.request.service(), state.owner, granted.estimatedWait(), nowNanos);
        state.environment.ownerSelector().recordPrefixServed(granted.server(), state.request.prefixHashes());
        state.owner = granted.owner();
        state.grant = new Grant(
                granted.server(),
                granted.address(),
                granted.fencingNumber(),
                nowNanos + granted.startTimeout().toNanos());
        useGrant(nowNanos);
    }

    void useGrant(long nowNanos) {
        Optional<ErrorCode> error = state.grant.validate(state.environment, nowNanos);
        if (error.isPresent()) {
            returnGrant(error.get(), nowNanos);
        } else if (state.record != null && !state.record.isHeld()) {
            state.enterPhase(Phase.RECORDING, Long.MAX_VALUE);
            handleRecordActions(state.record.start(nowNanos), nowNanos);
        } else {
            state.enterPhase(Phase.CONNECTING, nowNanos + ServerEventHandler.SILENCE_TIMEOUT_NANOS);
            state.actions.add(new RequestAction.SendToServer(
                    state.attempt,
                    state.grant.server(),
                    state.grant.address(),
                    state.grant.fencingNumber(),
                    state.response.tokenTexts()));
        }
    }

    void returnGrant(ErrorCode error, long nowNanos) {
        state.withdrawFromOwner("grant not used: " + error.label());
        if (error == ErrorCode.NO_CAPACITY) {
            state.limits.exclude(state.grant.server());
        }
        if (error == ErrorCode.ROUTER_CUT_OFF) {
            state.endWithError(error, Duration.ZERO, nowNanos);
        } else if (error == ErrorCode.GRANT_LAPSED && !state.limits.allowExpiredGrant()) {
            state.endWithError(error, FlowState.DEFAULT_RETRY_AFTER, nowNanos);
        } else {
            place(Optional.of(state.owner), nowNanos);
        }
    }

    void onRefused(RequestEvent.OwnerRefused refused, long nowNanos) {
        if (state.phase != Phase.ENQUEUING && state.phase != Phase.QUEUED) {
            return;
        }
        boolean ownerChanged = refused.code() == RefusalCode.NOT_OWNER || refused.code() == RefusalCode.STOPPING;
        if (ownerChanged) {
            state.limits.exclude(state.owner);
            place(Optional.empty(), nowNanos);
            return;
        }
        state.environment
                .ownerSelector()
                .recordWaitTime(state.request.service(), state.owner, refused.retryAfter(), nowNanos);
        if (state.mayHaveRun && retryAtOtherOwner(nowNanos)) {
            return;
        }
        ErrorCode code = refused.code() == RefusalCode.WORKSPACE_QUEUE_FULL
                ? ErrorCode.WORKSPACE_QUEUE_FULL
                : ErrorCode.PATIENCE_EXCEEDED;
        state.endWithError(code, refused.retryAfter(), nowNanos);
    }

    /** Places a request that was sent before at another owner, within the retry budget. */
    private boolean retryAtOtherOwner(long nowNanos) {
        long delay = state.limits.reserveRetry(state.response.nextPosition() > 0, nowNanos);
        if (delay < 0) {
            return false;
        }
        state.limits.exclude(state.owner);
        state.limits.resetPatience(nowNanos);
        state.enterPhase(Phase.BACKING_OFF, nowNanos + delay);
        return true;
    }

    void onRedirected(RequestEvent.OwnerRedirected redirected, long nowNanos) {
        if (state.phase == Phase.ENQUEUING || state.phase == Phase.QUEUED) {
            place(Optional.of(redirected.newOwner()), nowNanos);
        }
    }

    void onOwnerLost(RouterId lost, long nowNanos) {
        if (lost.equals(state.owner) && (state.phase == Phase.ENQUEUING || state.phase == Phase.QUEUED)) {
            abandonOwner(nowNanos);
        }
    }

    void onServerOwnerChanged(RequestEvent.ServerOwnerChanged changed) {
        if (state.inFlight() && state.grant.server().equals(changed.server())) {
            state.owner = changed.owner();
        }
    }

    void abandonOwner(long nowNanos) {
        state.withdrawFromOwner("owner does not answer");
        state.environment.ownerSelector().recordUnreachable(state.owner, nowNanos);
        state.limits.exclude(state.owner);
        place(Optional.empty(), nowNanos);
    }

    /** Handles the actions of the record state machine: the request is sent, refused, or gets its recorded response. */
    void handleRecordActions(List<RecordAction> recordActions, long nowNanos) {
        for (RecordAction recordAction : recordActions) {
            boolean awaited = state.phase == Phase.RECORDING;
            if (recordAction instanceof RecordAction.Held && awaited) {
                state.timeline.record(EventKind.RECORD_CREATED, state.attempt);
                useGrant(nowNanos);
            } else if (recordAction instanceof RecordAction.Replayed replayed && awaited) {
                state.withdrawFromOwner("answer is recorded");
                RecordedResponse recorded = replayed.response();
                state.response.sendRecorded(recorded.status(), recorded.headers(), recorded.body(), state.actions);
                state.finishWithoutResponse(nowNanos);
            } else if (recordAction instanceof RecordAction.Denied denied && awaited) {
                state.withdrawFromOwner("record: " + denied.reason());
                ErrorCode code = ErrorCode.valueOf(denied.reason().name());
                boolean retryLater = code == ErrorCode.IN_PROGRESS || code == ErrorCode.STORE_UNREACHABLE;
                state.endWithError(code, retryLater ? FlowState.DEFAULT_RETRY_AFTER : Duration.ZERO, nowNanos);
            } else {
                state.addRecordActions(List.of(recordAction));
            }
        }
    }
}
