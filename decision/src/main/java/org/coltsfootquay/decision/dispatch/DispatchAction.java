package org.coltsfootquay.decision.dispatch;

import java.time.Duration;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.ownership.OwnedServer;

/** Decision of a dispatcher that is sent to an entry router. */
public sealed interface DispatchAction {

    /**
     * Returns the entry router that the action is addressed to.
     *
     * @return router
     */
    RouterId entryRouter();

    /**
     * Returns the attempt that the action is about.
     *
     * @return attempt
     */
    RequestAttempt attempt();

    /**
     * The request may start on a server.
     *
     * @param entryRouter entry router
     * @param attempt attempt
     * @param server server
     * @param startTimeout time within which the entry router must start to send
     * @param estimatedWait estimated waiting time of a request queued now; an input to placement
     */
    record Granted(
            RouterId entryRouter,
            RequestAttempt attempt,
            OwnedServer server,
            Duration startTimeout,
            Duration estimatedWait)
            implements DispatchAction {}

    /**
     * The request is queued.
     *
     * @param entryRouter entry router
     * @param attempt attempt
     * @param estimatedWait estimated waiting time
     */
    record Queued(RouterId entryRouter, RequestAttempt attempt, Duration estimatedWait) implements DispatchAction {}

    /**
     * The request is refused; no server has started it.
     *
     * @param entryRouter entry router
     * @param attempt attempt
     * @param code reason
     * @param retryAfter time to wait before a retry
     */
    record Refused(RouterId entryRouter, RequestAttempt attempt, RefusalCode code, Duration retryAfter)
            implements DispatchAction {}

    /**
     * The entry router should submit the request to another owner; it was removed from this queue.
     *
     * @param entryRouter entry router
     * @param attempt attempt
     * @param owner other owner
     */
    record Redirected(RouterId entryRouter, RequestAttempt attempt, RouterId owner) implements DispatchAction {}

    /**
     * The stream is preempted: the entry router must cancel it on its server and submit the remainder again.
     *
     * @param entryRouter entry router
     * @param attempt attempt
     */
    record Preempted(RouterId entryRouter, RequestAttempt attempt) implements DispatchAction {}
}
