package org.coltsfootquay.decision.request;

import java.util.Locale;

/** Codes of refusals and errors; {@code docs/refusals.md} explains each. */
public enum ErrorCode {
    /** The input of the caller is not valid. */
    BAD_REQUEST(400, "the request is not valid", "correct the request as the message says"),
    /** The bearer key is missing or belongs to no workspace. */
    UNAUTHORIZED(401, "the key is missing or belongs to no workspace", "send a valid key in the header Authorization"),
    /** No service or class of work matches the request. */
    UNKNOWN_CLASS(
            404, "no service or class of work matches the request", "name a configured model, route or class of work"),
    /** The request is larger than the router accepts. */
    TOO_LARGE(413, "the request is too large", "send a smaller request"),
    /** A non-idempotent request has no idempotency key. */
    KEY_REQUIRED(400, "the request is not idempotent and has no idempotency key", "send the header Idempotency-Key"),
    /** The queue of the workspace is full. */
    WORKSPACE_QUEUE_FULL(
            429, "the queue of the workspace is full", "send fewer requests at once, and retry after the stated time"),
    /** The request waited, or would wait, longer than the patience of its class. */
    PATIENCE_EXCEEDED(503, "the request would wait longer than its class allows", "retry after the stated time"),
    /** No owner with a server for the service can be reached. */
    NO_CAPACITY(503, "no server for the request can be reached", "retry after the stated time at the next address"),
    /** The grant lapsed several times before the send could start. */
    GRANT_LAPSED(
            503,
            "the request could not start in the time it was granted",
            "retry after the stated time at the next address"),
    /** The router has contact neither to the store nor to its peers. */
    ROUTER_CUT_OFF(
            503,
            "the router has contact neither to the store nor to other routers",
            "retry at once at the next address"),
    /** The router is stopping. */
    ROUTER_STOPPING(503, "the router is stopping", "retry at once at the next address"),
    /** No connection to a server could be made. */
    CONNECT_FAILED(503, "no connection to a server could be made", "retry after the stated time"),
    /** The servers stated that they are cold. */
    SERVER_COLD(503, "the servers are starting", "retry after the stated time"),
    /** The servers refused the fencing number. */
    SERVER_FENCED(503, "the servers changed their owner", "retry after the stated time"),
    /** The record of a non-idempotent request could not be confirmed. */
    STORE_UNREACHABLE(
            503, "the request could not be recorded", "retry after the stated time with the same Idempotency-Key"),
    /** The idempotency key was used with another request. */
    KEY_REUSED(
            422, "the idempotency key was used with another request", "use a new Idempotency-Key for another request"),
    /** An earlier attempt with this key is being executed. */
    IN_PROGRESS(
            409,
            "an earlier request with this key is being executed",
            "retry after the stated time with the same Idempotency-Key"),
    /** An earlier attempt with this key, or this one, may have run; its answer is lost. */
    OUTCOME_UNKNOWN(
            409,
            "the request may have run and its answer is lost",
            "find out at the application whether it ran; do not repeat it with a new key before that"),
    /** An earlier attempt with this key ran, and its answer was too large to be recorded. */
    ANSWER_NOT_RECORDED(
            409,
            "an earlier request with this key ran; its answer was too large to be recorded",
            "read the result at the application; the request ran and must not be repeated"),
    /** The connection to the server broke after the request was written. */
    CONNECTION_BROKEN(502, "the connection to the server broke while it executed the request", "retry the request"),
    /** The server failed while it executed the request. */
    SERVER_FAILED(502, "the server failed while it executed the request", "retry the request"),
    /** The answer is larger than the router holds for a caller that receives it whole. */
    ANSWER_TOO_LARGE(502, "the answer is too large to be given whole", "ask for less, or for the answer in parts");

    private final int status;
    private final String message;
    private final String remedy;

    ErrorCode(int status, String message, String remedy) {
        this.status = status;
        this.message = message;
        this.remedy = remedy;
    }

    /**
     * Returns the HTTP status.
     *
     * @return status
     */
    public int status() {
        return status;
    }

    /**
     * Returns what happened, for callers.
     *
     * @return message
     */
    public String message() {
        return message;
    }

    /**
     * Returns what the caller can do.
     *
     * @return remedy
     */
    public String remedy() {
        return remedy;
    }

    /**
     * Returns the name as it stands in messages.
     *
     * @return lower-case name with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
