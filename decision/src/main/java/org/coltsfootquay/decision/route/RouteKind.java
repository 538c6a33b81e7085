package org.coltsfootquay.decision.route;

/** What may be repeated when the outcome of a request is unknown. */
public enum RouteKind {
    /** Answered by a series of events; repeated only where the route says that its streams may be resumed. */
    STREAM,
    /** May run any number of times. */
    IDEMPOTENT,
    /** Runs at most once for each request of a caller. */
    AT_MOST_ONCE
}
