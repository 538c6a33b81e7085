package org.coltsfootquay.decision.hedge;

import org.coltsfootquay.decision.common.ServiceName;

/**
 * State by which the router decides whether to hedge a request now.
 *
 * @param service service of the request
 * @param tokens prompt tokens that the second server has to read; 0 for application servers
 * @param repeatable true if the route permits repeated execution
 * @param attemptsLeft true if the request may be sent to a further server
 * @param rolloutRunning true if versions of the service are compared
 * @param requestsWaiting true if requests for the service wait at any router
 * @param suspected true if a part of the prompt may crash servers
 * @param server state of the second server
 */
public record HedgeQuery(
        ServiceName service,
        long tokens,
        boolean repeatable,
        boolean attemptsLeft,
        boolean rolloutRunning,
        boolean requestsWaiting,
        boolean suspected,
        Target server) {

    /** State of the server that would get the hedge. */
    public enum Target {
        /** The server can begin at once. */
        FREE,

        /** No other server may get the request, or the one that may is cold or avoided. */
        UNFIT,

        /** The request would wait at the server. */
        BUSY
    }
}
