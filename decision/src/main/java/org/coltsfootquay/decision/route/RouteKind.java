package org.coltsfootquay.decision.route;

/** Execution semantics of the requests of a route, which decide whether an unknown outcome permits a retry. */
public enum RouteKind {
    /** Answered by a stream of events; retried only if the route allows its streams to be resumed. */
    STREAM,
    /** May be executed any number of times. */
    IDEMPOTENT,
    /** Executed at most once for each request of a caller. */
    AT_MOST_ONCE
}
