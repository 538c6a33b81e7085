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
 * Checks G5: each response part is sent to the caller once, in order and as the server of the current attempt sent it;
 * a response is presented as complete only if the server ended it and no part is missing.
 */
public final class ResponseIntegrityInvariant implements RequestObserver {

    private final InvariantMonitor monitor;
    private final Map<RequestId, State> states = new HashMap<>();

    /**
     * Creates the check.
     *
     * @param monitor monitor that counts and records violations
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
            require(!state.started && !state.ended, request, "response started twice or after its end");
            state.started = true;
            state.tokens = start.tokens();
        } else if (action instanceof RequestAction.SendPart part) {
            checkPart(request, event, part, state);
        } else if (action instanceof RequestAction.FinishResponse) {
            require(state.started, request, "response finished before it started");
            checkEnd(request, event, state, state.nextPosition);
        } else if (action instanceof RequestAction.SendResponse response) {
            long length = response.tokens()
                    ? response.parts().size()
                    : response.parts().stream().mapToLong(part -> part.length).sum();
            require(!state.started, request, "complete response sent after a response was started");
            checkEnd(request, event, state, length);
        } else if (action instanceof RequestAction.Refuse) {
            require(!state.started && !state.ended, request, "refused after a response was started or ended");
            state.ended = true;
        } else if (action instanceof RequestAction.EndWithError) {
            require(state.started && !state.ended, request, "error event outside of a response");
            state.ended = true;
        }
    }

    private void checkPart(CallerRequest request, RequestEvent event, RequestAction.SendPart part, State state) {
        require(state.started && !state.ended, request, "part sent outside of a response");
        require(
                part.position() == state.nextPosition,
                request,
                "part at position " + part.position() + " instead of " + state.nextPosition);
        boolean received = event instanceof RequestEvent.PartReceived source
                && source.attempt().equals(state.attempt)
                && source.position() == part.position()
                && Arrays.equals(source.data(), part.data());
        require(received, request, "part was not delivered by the current attempt");
        state.nextPosition += state.tokens ? 1 : part.data().length;
    }

    private void checkEnd(CallerRequest request, RequestEvent event, State state, long length) {
        require(!state.ended, request, "response ended twice");
        state.ended = true;
        if (event instanceof RequestEvent.RecordWritten || event instanceof RequestEvent.RecordRead) {
            require(
                    request.atMostOnce() && !state.started,
                    request,
                    "recorded response used outside of a non-idempotent request");
            return;
        }
        boolean ended = event instanceof RequestEvent.ResponseEnded source
                && source.attempt().equals(state.attempt)
                && (source.total() < 0 || source.total() == length);
        require(ended, request, "response presented as complete, but its server did not end it at " + length);
    }

    private void require(boolean holds, CallerRequest request, String reason) {
        if (!holds) {
            RequestInvariants.recordViolation(monitor, Guarantee.G5, request.id(), reason);
        }
    }

    private static final class State {

        private RequestAttempt attempt;
        private long nextPosition;
        private boolean tokens;
        private boolean started;
        private boolean ended;
    }
}
