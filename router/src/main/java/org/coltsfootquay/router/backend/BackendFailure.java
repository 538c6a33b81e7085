package org.coltsfootquay.router.backend;

/**
 * Failure of a call to a backend server.
 *
 * @param kind kind of failure
 * @param execution whether the server may have received any byte of the request
 * @param message description to log
 */
public record BackendFailure(Kind kind, Execution execution, String message) {

    /** Kinds of failure. */
    public enum Kind {
        /** No connection could be established. */
        CONNECT,
        /** The handler did not permit sending the request. */
        NOT_STARTED,
        /** The connection failed before the complete response arrived. */
        BROKEN,
        /** No byte arrived within the read timeout. */
        SILENT,
        /** The response is not valid HTTP, or its end cannot be distinguished from a failed connection. */
        MALFORMED,
        /** The call was cancelled. */
        CANCELLED
    }

    /** What is known about the execution of the request. */
    public enum Execution {
        /** No byte of the request was written. */
        NOT_SENT,
        /** Some byte of the request may have been written. */
        MAY_HAVE_RUN
    }
}
