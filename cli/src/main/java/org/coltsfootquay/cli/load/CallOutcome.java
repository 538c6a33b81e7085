package org.coltsfootquay.cli.load;

/** How a call ended, as its caller saw it. */
public enum CallOutcome {
    /** The whole answer to the caller's own request arrived. */
    COMPLETED,
    /** The router refused and stated that the request was not run. */
    REFUSED_NOT_RUN,
    /** The router stated that it does not know whether the request ran. */
    UNKNOWN,
    /** The answer ended with an explicit error. */
    FAILED,
    /** The connection broke before the answer was complete. */
    CUT,
    /** The answer was marked complete but was not the whole answer to this request. */
    WRONG_ANSWER
}
