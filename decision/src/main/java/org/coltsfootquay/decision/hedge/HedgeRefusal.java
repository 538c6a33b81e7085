package org.coltsfootquay.decision.hedge;

/** Reason for which a late request is not hedged. */
public enum HedgeRefusal {
    /** The request must be executed at most once. */
    NOT_REPEATABLE,

    /** The request was sent to as many servers as its route permits. */
    NO_ATTEMPTS,

    /** A part of the prompt may crash servers. */
    SUSPECTED,

    /** A roll-out of the service compares its versions. */
    ROLLOUT,

    /** Requests wait for the service, which the hedge would delay. */
    REQUESTS_WAIT,

    /** There is no other server, or it is cold, leaving or avoided. */
    NO_SERVER,

    /** The request would wait at the other server. */
    SERVER_BUSY,

    /** The extra work has reached the operator's limit. */
    NO_BUDGET,

    /** The rest of the platform's retries is reserved for retries. */
    RETRY_RESERVE
}
