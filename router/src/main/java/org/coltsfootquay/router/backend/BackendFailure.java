package org.coltsfootquay.router.backend;

/**
 * Failure of a call to a backend server.
 *
 * @param kind kind of failure
 * @param execution whether the server may have received any byte of the request
 * @param message message for the log
 */
public record BackendFailure(Kind kind, Execution execution, String message) {

    /** Kinds of failure. */
    public enum Kind {
        /** No connection could be made. */
        CONNECT,
        /** The caller's check before the first byte said no. */
        NOT_STARTED,
        /** The connection broke before the whole answer arrived. */
        BROKEN,
        /** No byte arrived for the longest allowed time. */
        SILENT,
        /** The answer is not valid HTTP, or its end cannot be told from a broken connection. */
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
