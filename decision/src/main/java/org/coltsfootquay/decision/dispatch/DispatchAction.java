package org.coltsfootquay.decision.dispatch;

import java.time.Duration;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.ownership.OwnedServer;

/** Output of a dispatcher, addressed to an entry router. */
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
     * @param startTimeout time within which the send must start
     * @param estimatedWait waiting time that a request queued now would see; feedback for placement
     */
    record Granted(
            RouterId entryRouter, RequestAttempt attempt, OwnedServer server, Duration startTimeout, Duration estimatedWait)
            implements DispatchAction {}

    /**
     * The request waits.
     *
     * @param entryRouter entry router
     * @param attempt attempt
     * @param estimatedWait estimated waiting time
     */
    record Queued(RouterId entryRouter, RequestAttempt attempt, Duration estimatedWait) implements DispatchAction {}

    /**
     * The request is refused; it was not started.
     *
     * @param entryRouter entry router
     * @param attempt attempt
     * @param code reason
     * @param retryAfter time after which a retry has a chance
     */
    record Refused(RouterId entryRouter, RequestAttempt attempt, RefusalCode code, Duration retryAfter)
            implements DispatchAction {}

    /**
     * The entry router should queue the request at another owner; it no longer waits here.
     *
     * @param entryRouter entry router
     * @param attempt attempt
     * @param owner other owner
     */
    record Redirected(RouterId entryRouter, RequestAttempt attempt, RouterId owner) implements DispatchAction {}

    /**
     * The entry router must cancel the stream on its server and queue the rest again.
     *
     * @param entryRouter entry router
     * @param attempt attempt
     */
    record Preempted(RouterId entryRouter, RequestAttempt attempt) implements DispatchAction {}
}
