package org.coltsfootquay.decision.invariant;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.request.CallerRequest;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.decision.request.RequestObserver;

/**
 * Checks G5: each part is passed once, in order, as the server of the current attempt sent it; an answer is presented
 * as complete only when its server ended it and no part is missing.
 */
public final class ResponseIntegrityInvariant implements RequestObserver {

    private final InvariantMonitor monitor;
    private final Map<RequestId, State> states = new HashMap<>();

    /**
     * Creates the check.
     *
     * @param monitor counts and records the violations
     */
    public ResponseIntegrityInvariant(InvariantMonitor monitor) {
        this.monitor = monitor;
    }

    @Override
    public synchronized void onEventHandled(
            CallerRequest request, RequestEvent event, List<RequestAction> actions, long nowNanos) {
        if (event instanceof RequestEvent.Admitted) {
            states.put(request.id(), new State());
        }
        State state = states.get(request.id());
        if (state == null) {
            return;
        }
        for (RequestAction action : actions) {
            check(request, event, action, state);
        }
        if (RequestInvariants.isClosed(actions)) {
            states.remove(request.id());
        }
    }

    private void check(CallerRequest request, RequestEvent event, RequestAction action, State state) {
        if (action instanceof RequestAction.EnqueueAtOwner enqueue) {
            state.attempt = enqueue.attempt();
        } else if (action instanceof RequestAction.StartResponse start) {
            require(!state.started && !state.ended, request, "answer started twice or after its end");
            state.started = true;
            state.tokens = start.tokens();
        } else if (action instanceof RequestAction.SendPart part) {
            checkPart(request, event, part, state);
        } else if (action instanceof RequestAction.FinishResponse) {
            require(state.started, request, "answer finished before it started");
            checkEnd(request, event, state, state.next);
        } else if (action instanceof RequestAction.SendResponse give) {
            long length = give.tokens()
                    ? give.parts().size()
                    : give.parts().stream().mapToLong(part -> part.length).sum();
            require(!state.started, request, "whole answer given after an answer was started");
            checkEnd(request, event, state, length);
        } else if (action instanceof RequestAction.Refuse) {
            require(!state.started && !state.ended, request, "refused after an answer was started or ended");
            state.ended = true;
        } else if (action instanceof RequestAction.EndWithError) {
            require(state.started && !state.ended, request, "error event outside of an answer");
            state.ended = true;
        }
    }

    private void checkPart(CallerRequest request, RequestEvent event, RequestAction.SendPart part, State state) {
        require(state.started && !state.ended, request, "part passed outside of an answer");
        require(part.position() == state.next, request, "part at " + part.position() + " instead of " + state.next);
        boolean received = event instanceof RequestEvent.PartReceived source
                && source.attempt().equals(state.attempt)
                && source.position() == part.position()
                && Arrays.equals(source.data(), part.data());
        require(received, request, "part passed that the current attempt did not deliver");
        state.next += state.tokens ? 1 : part.data().length;
    }

    private void checkEnd(CallerRequest request, RequestEvent event, State state, long length) {
        require(!state.ended, request, "answer ended twice");
        state.ended = true;
        if (event instanceof RequestEvent.RecordWritten || event instanceof RequestEvent.RecordRead) {
            require(request.atMostOnce() && !state.started, request, "recorded answer outside of a non-idempotent request");
            return;
        }
        boolean ended = event instanceof RequestEvent.ResponseEnded source
                && source.attempt().equals(state.attempt)
                && (source.total() < 0 || source.total() == length);
        require(ended, request, "answer presented as complete that its server did not end at " + length);
    }

    private void require(boolean holds, CallerRequest request, String reason) {
        if (!holds) {
            RequestInvariants.recordViolation(monitor, Guarantee.G5, request.id(), reason);
        }
    }

    private static final class State {

        private RequestAttempt attempt;
        private long next;
        private boolean tokens;
        private boolean started;
        private boolean ended;
    }
}
