package org.coltsfootquay.decision.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.dispatch.EndReport.Outcome;
import org.coltsfootquay.decision.request.FlowState.Phase;
import org.coltsfootquay.decision.timeline.EventKind;

/**
 * Processes one request at its entry router, from admission to the end of the response.
 *
 * <p>Not thread-safe: {@link #maySend} and {@link #handle} must be called on the same thread. The flow ends with
 * {@link RequestAction.Close}.
 */
public final class RequestFlow {

    private final FlowState state;
    private final OwnerEventHandler ownerHandler;
    private final ServerEventHandler serverHandler;

    /**
     * Creates the flow of a request.
     *
     * @param request request
     * @param environment state and services that the flows of the router share
     */
    public RequestFlow(CallerRequest request, RequestEnvironment environment) {
        ArgumentUtils.requireValue(request, "request");
        ArgumentUtils.requireValue(environment, "environment");
        this.state = new FlowState(request, environment);
        this.ownerHandler = new OwnerEventHandler(state);
        this.serverHandler = new ServerEventHandler(state, ownerHandler);
    }

    /**
     * Handles an event.
     *
     * @param event event
     * @param nowNanos current time of the monotonic clock
     * @return actions in the order in which they must be carried out
     */
    public List<RequestAction> handle(RequestEvent event, long nowNanos) {
        state.actions = new ArrayList<>(4);
        if (event instanceof RequestEvent.OwnerGranted granted) {
            ownerHandler.onGranted(granted, nowNanos);
        } else if (event instanceof RequestEvent.RecordWritten written && state.record != null) {
            ownerHandler.handleRecordActions(
                    state.record.handleWriteResult(written.sequence(), written.result(), nowNanos), nowNanos);
        } else if (event instanceof RequestEvent.RecordRead read && state.record != null) {
            ownerHandler.handleRecordActions(
                    state.record.handleReadResult(read.sequence(), read.result(), nowNanos), nowNanos);
        } else if (event instanceof RequestEvent.TimerFired) {
            onTimer(nowNanos);
        } else if (!isResponseFinished()) {
            onEvent(event, nowNanos);
        }
        state.scheduleTimer();
        List<RequestAction> result = Collections.unmodifiableList(state.actions);
        state.environment.observer().onEventHandled(state.request, event, result, nowNanos);
        return result;
    }

    /**
     * Checks just before the first byte of an attempt is written to its server that the grant has not expired, the
     * server and its zone admit work in the configuration in force, the router is not cut off, and the caller is still
     * connected.
     *
     * @param sending attempt that is about to be sent
     * @param nowNanos current time of the monotonic clock
     * @return true if the client may write
     */
    public boolean maySend(RequestAttempt sending, long nowNanos) {
        return state.phase == Phase.CONNECTING
                && sending.equals(state.attempt)
                && !state.callerDisconnected
                && state.grant.validate(state.environment, nowNanos).isEmpty();
    }

    /**
     * Returns whether the flow needs no further events.
     *
     * @return true after {@link RequestAction.Close}
     */
    public boolean isClosed() {
        return state.phase == Phase.CLOSED;
    }

    /**
     * Returns whether the response ended or the caller disconnected, so that only the record may still be open.
     *
     * @return true if the process may exit without interrupting a caller
     */
    public boolean isResponseFinished() {
        return state.phase == Phase.ENDED || state.phase == Phase.CLOSED;
    }

    /**
     * Returns the request.
     *
     * @return request
     */
    public CallerRequest request() {
        return state.request;
    }

    /**
     * Returns the server that currently executes the request, for reports to a new owner of the server.
     *
     * @return server, or empty if the request is not in flight
     */
    public Optional<ServerName> serverInFlight() {
        return state.inFlight() ? Optional.of(state.grant.server()) : Optional.empty();
    }

    /**
     * Returns the current attempt.
     *
     * @return attempt, or empty before the first placement
     */
    public Optional<RequestAttempt> attempt() {
        return Optional.ofNullable(state.attempt);
    }

    private void onEvent(RequestEvent event, long nowNanos) {
        if (event instanceof RequestEvent.AttemptEvent attemptEvent
                && !attemptEvent.attempt().equals(state.attempt)) {
            return;
        }
        if (event instanceof RequestEvent.Admitted) {
            ownerHandler.onAdmitted(nowNanos);
        } else if (event instanceof RequestEvent.CallerDisconnected) {
            onCallerDisconnected(nowNanos);
        } else if (event instanceof RequestEvent.OwnerLost lost) {
            ownerHandler.onOwnerLost(lost.owner(), nowNanos);
        } else if (event instanceof RequestEvent.ServerOwnerChanged changed) {
            ownerHandler.onServerOwnerChanged(changed);
        } else if (event instanceof RequestEvent.OwnerQueued queued) {
            ownerHandler.onQueued(queued, nowNanos);
        } else if (event instanceof RequestEvent.OwnerRefused refused) {
            ownerHandler.onRefused(refused, nowNanos);
        } else if (event instanceof RequestEvent.OwnerRedirected redirected) {
            ownerHandler.onRedirected(redirected, nowNanos);
        } else if (event instanceof RequestEvent.OwnerPreempted) {
            serverHandler.onPreempted(nowNanos);
        } else if (event instanceof RequestEvent.SendStarted) {
            serverHandler.onSendStarted(nowNanos);
        } else if (event instanceof RequestEvent.SendAbandoned) {
            serverHandler.onSendAbandoned(nowNanos);
        } else if (event instanceof RequestEvent.ConnectFailed) {
            serverHandler.onConnectFailed(nowNanos);
        } else if (state.inFlight()) {
            onServerEvent(event, nowNanos);
        }
    }

    private void onServerEvent(RequestEvent event, long nowNanos) {
        if (event instanceof RequestEvent.ServerDeclined declined) {
            serverHandler.onDeclined(declined.reason(), nowNanos);
        } else if (event instanceof RequestEvent.HeadReceived head) {
            serverHandler.onHead(head, nowNanos);
        } else if (event instanceof RequestEvent.PartReceived part) {
            serverHandler.onPart(part, nowNanos);
        } else if (event instanceof RequestEvent.ResponseEnded ended) {
            serverHandler.onResponseEnded(ended, nowNanos);
        } else if (event instanceof RequestEvent.StreamFailed) {
            serverHandler.retryAfterPossibleExecution(Outcome.FAILED, ErrorCode.SERVER_FAILED, nowNanos);
        } else if (event instanceof RequestEvent.ConnectionBroken) {
            serverHandler.onConnectionBroken(nowNanos);
        }
    }

    private void onCallerDisconnected(long nowNanos) {
        if (state.callerDisconnected) {
            return;
        }
        state.callerDisconnected = true;
        state.response.disconnect();
        state.timeline.record(EventKind.REQUEST_CANCELLED, state.attempt);
        if (state.request.atMostOnce() && state.inFlightOrConnecting()) {
            // The request may be executed; its response is recorded for the caller's next request with the same key.
            return;
        }
        if (state.inFlightOrConnecting()) {
            state.cancelOnServer();
            state.reportFinished(Outcome.CANCELLED, nowNanos);
        } else if (state.phase == Phase.ENQUEUING || state.phase == Phase.QUEUED || state.phase == Phase.RECORDING) {
            state.withdrawFromOwner("caller gone");
        }
        state.finishWithoutResponse(nowNanos);
    }

    private void onTimer(long nowNanos) {
        state.timerNanos = Long.MAX_VALUE;
        if (state.record != null) {
            ownerHandler.handleRecordActions(state.record.handleTimer(nowNanos), nowNanos);
        }
        if (nowNanos < state.phaseDeadlineNanos) {
            return;
        }
        state.phaseDeadlineNanos = Long.MAX_VALUE;
        switch (state.phase) {
            case BACKING_OFF -> ownerHandler.place(Optional.empty(), nowNanos);
            case ENQUEUING -> ownerHandler.abandonOwner(nowNanos);
            case QUEUED -> {
                state.withdrawFromOwner("patience exceeded");
                state.endWithError(ErrorCode.PATIENCE_EXCEEDED, FlowState.DEFAULT_RETRY_AFTER, nowNanos);
            }
            case CONNECTING, SENT, RESUMING -> serverHandler.onSilence(nowNanos);
            default -> {}
        }
    }
}
