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

/** Checks G6: no refusal says {@code not_run} if an attempt wrote bytes and its server did not decline it. */
public final class NotRunRefusalInvariant implements RequestObserver {

    private final InvariantMonitor monitor;
    private final Map<RequestId, Set<RequestAttempt>> sentAttempts = new HashMap<>();

    /**
     * Creates the check.
     *
     * @param monitor monitor that counts and records violations
     */
    public NotRunRefusalInvariant(InvariantMonitor monitor) {
        this.monitor = monitor;
    }

    @Override
    public synchronized void onEventHandled(
            CallerRequest request, RequestEvent event, List<RequestAction> actions, long nowNanos) {
        if (event instanceof RequestEvent.SendStarted started) {
            sentAttempts.computeIfAbsent(request.id(), id -> new HashSet<>(2)).add(started.attempt());
        } else if (event instanceof RequestEvent.ServerDeclined declined) {
            sentAttempts.getOrDefault(request.id(), new HashSet<>(1)).remove(declined.attempt());
        }
        for (RequestAction action : actions) {
            ErrorResponse error = action instanceof RequestAction.Refuse refuse
                    ? refuse.error()
                    : action instanceof RequestAction.EndWithError end ? end.error() : null;
            boolean mayHaveRun =
                    !sentAttempts.getOrDefault(request.id(), Set.of()).isEmpty();
            if (error != null && error.execution() == ErrorResponse.Execution.NOT_RUN && mayHaveRun) {
                RequestInvariants.recordViolation(
                        monitor,
                        Guarantee.G6,
                        request.id(),
                        error.code().label() + " says not_run although bytes were written");
            }
        }
        if (RequestInvariants.isClosed(actions)) {
            sentAttempts.remove(request.id());
        }
    }
}
