package org.coltsfootquay.decision.invariant;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.request.CallerRequest;
import org.coltsfootquay.decision.request.ErrorResponse;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.decision.request.RequestObserver;

/** Checks G6: no refusal says {@code not_run} when bytes of the request were written and not declined by the server. */
public final class NotRunRefusalInvariant implements RequestObserver {

    private final InvariantMonitor monitor;
    private final Map<RequestId, Set<RequestAttempt>> sent = new HashMap<>();

    /**
     * Creates the check.
     *
     * @param monitor counts and records the violations
     */
    public NotRunRefusalInvariant(InvariantMonitor monitor) {
        this.monitor = monitor;
    }

    @Override
    public synchronized void onEventHandled(
            CallerRequest request, RequestEvent event, List<RequestAction> actions, long nowNanos) {
        if (event instanceof RequestEvent.SendStarted started) {
            sent.computeIfAbsent(request.id(), id -> new HashSet<>(2)).add(started.attempt());
        } else if (event instanceof RequestEvent.ServerDeclined declined) {
            sent.getOrDefault(request.id(), new HashSet<>(1)).remove(declined.attempt());
        }
        for (RequestAction action : actions) {
            ErrorResponse error = action instanceof RequestAction.Refuse refuse
                    ? refuse.error()
                    : action instanceof RequestAction.EndWithError end ? end.error() : null;
            boolean mayHaveRun = !sent.getOrDefault(request.id(), Set.of()).isEmpty();
            if (error != null && error.execution() == ErrorResponse.Execution.NOT_RUN && mayHaveRun) {
                RequestInvariants.recordViolation(
                        monitor,
                        Guarantee.G6,
                        request.id(),
                        error.code().label() + " says not_run after bytes were written");
            }
        }
        if (RequestInvariants.isClosed(actions)) {
            sent.remove(request.id());
        }
    }
}
