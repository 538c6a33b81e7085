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
 * Course of one request at its entry router.
 *
 * <p>Not thread-safe: one thread drives a flow, and calls {@link #maySend} on the same thread as {@link #handle}. The
 * flow ends with {@link RequestAction.Close}.
 */
public final class RequestFlow {

    private final FlowState state;
    private final OwnerSide owners;
    private final ServerSide servers;

    /**
     * Creates the flow of a request.
     *
     * @param request request
     * @param environment what the flows of the router share
     */
    public RequestFlow(CallerRequest request, RequestEnvironment environment) {
        ArgumentUtils.requireValue(request, "request");
        ArgumentUtils.requireValue(environment, "environment");
        this.state = new FlowState(request, environment);
        this.owners = new OwnerSide(state);
        this.servers = new ServerSide(state, owners);
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
            owners.onGranted(granted, nowNanos);
        } else if (event instanceof RequestEvent.RecordWritten written && state.record != null) {
            owners.recordSteps(state.record.handleWriteResult(written.sequence(), written.result(), nowNanos), nowNanos);
        } else if (event instanceof RequestEvent.RecordRead read && state.record != null) {
            owners.recordSteps(state.record.handleReadResult(read.sequence(), read.result(), nowNanos), nowNanos);
        } else if (event instanceof RequestEvent.TimePassed) {
            onTime(nowNanos);
        } else if (!isAnswered()) {
            onEvent(event, nowNanos);
        }
        state.scheduleTimer();
        List<RequestAction> result = Collections.unmodifiableList(state.actions);
        state.environment.observer().handled(state.request, event, result, nowNanos);
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
        return state.phase == Phase.OPENING
                && opened.equals(state.attempt)
                && !state.callerGone
                && state.grant.obstacle(state.environment, nowNanos).isEmpty();
    }

    /**
     * Tells whether the flow needs no further events.
     *
     * @return true after {@link RequestAction.Close}
     */
    public boolean isClosed() {
        return state.phase == Phase.CLOSED;
    }

    /**
     * Tells whether the caller received an end or left, so that nothing but the record is still worked on.
     *
     * @return true if the end of the process would interrupt nobody
     */
    public boolean isAnswered() {
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
     * Returns the server that executes the request now, for reports to a new owner of the server.
     *
     * @return server, or empty while nothing is in flight
     */
    public Optional<ServerName> inFlightOn() {
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
        if (event instanceof RequestEvent.OfAttempt about && !about.attempt().equals(state.attempt)) {
            return;
        }
        if (event instanceof RequestEvent.Admitted) {
            owners.onAdmitted(nowNanos);
        } else if (event instanceof RequestEvent.CallerGone) {
            onCallerGone(nowNanos);
        } else if (event instanceof RequestEvent.OwnerLost lost) {
            owners.onOwnerLost(lost.owner(), nowNanos);
        } else if (event instanceof RequestEvent.ServerMoved moved) {
            owners.onServerMoved(moved);
        } else if (event instanceof RequestEvent.OwnerQueued queued) {
            owners.onQueued(queued, nowNanos);
        } else if (event instanceof RequestEvent.OwnerRefused refused) {
            owners.onRefused(refused, nowNanos);
        } else if (event instanceof RequestEvent.OwnerRedirected redirected) {
            owners.onRedirected(redirected, nowNanos);
        } else if (event instanceof RequestEvent.OwnerPreempted) {
            servers.onPreempted(nowNanos);
        } else if (event instanceof RequestEvent.SendStarted) {
            servers.onSendStarted(nowNanos);
        } else if (event instanceof RequestEvent.SendAbandoned) {
            servers.onSendAbandoned(nowNanos);
        } else if (event instanceof RequestEvent.ConnectFailed) {
            servers.onConnectFailed(nowNanos);
        } else if (state.inFlight()) {
            onAnswerEvent(event, nowNanos);
        }
    }

    private void onAnswerEvent(RequestEvent event, long nowNanos) {
        if (event instanceof RequestEvent.ServerDeclined declined) {
            servers.onDeclined(declined.statement(), nowNanos);
        } else if (event instanceof RequestEvent.HeadReceived head) {
            servers.onHead(head, nowNanos);
        } else if (event instanceof RequestEvent.PartReceived part) {
            servers.onPart(part, nowNanos);
        } else if (event instanceof RequestEvent.AnswerEnded ended) {
            servers.onEnd(ended, nowNanos);
        } else if (event instanceof RequestEvent.StreamFailed) {
            servers.sendElsewhere(Outcome.FAILED, ErrorCode.SERVER_FAILED, nowNanos);
        } else if (event instanceof RequestEvent.ConnectionBroken) {
            servers.onBroken(nowNanos);
        }
    }

    private void onCallerGone(long nowNanos) {
        if (state.callerGone) {
            return;
        }
        state.callerGone = true;
        state.answer.callerGone();
        state.journal.note(EventKind.REQUEST_CANCELLED, state.attempt);
        if (state.request.once() && state.inFlightOrOpening()) {
            // The request may run; its answer is recorded for the caller's next attempt.
            return;
        }
        if (state.inFlightOrOpening()) {
            state.cancelOnServer();
            state.reportFinished(Outcome.CANCELLED, nowNanos);
        } else if (state.phase == Phase.ASKED || state.phase == Phase.QUEUED || state.phase == Phase.RECORDING) {
            state.withdraw("caller gone");
        }
        state.finishWithoutAnswer(nowNanos);
    }

    private void onTime(long nowNanos) {
        state.scheduledNanos = Long.MAX_VALUE;
        if (state.record != null) {
            owners.recordSteps(state.record.handleTimer(nowNanos), nowNanos);
        }
        if (nowNanos < state.dueNanos) {
            return;
        }
        state.dueNanos = Long.MAX_VALUE;
        switch (state.phase) {
            case WAITING -> owners.place(Optional.empty(), nowNanos);
            case ASKED -> owners.leaveOwner(nowNanos);
            case QUEUED -> {
                state.withdraw("patience exceeded");
                state.end(ErrorCode.PATIENCE_EXCEEDED, FlowState.DEFAULT_RETRY_AFTER, nowNanos);
            }
            case OPENING, SENT, RESUMING -> servers.silent(nowNanos);
            default -> {}
        }
    }
}
