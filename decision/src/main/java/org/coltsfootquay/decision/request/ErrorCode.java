package org.coltsfootquay.decision.request;

import java.util.Locale;

/** Error codes of refused and failed requests; {@code docs/refusals.md} explains each. */
public enum ErrorCode {
    /** The input of the request is invalid. */
    BAD_REQUEST(400, "the request is not valid", "correct the request as the message says"),
    /** The bearer token is missing or belongs to no workspace. */
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
    /** The request waited, or would have to wait, longer than the patience of its class of work. */
    PATIENCE_EXCEEDED(
            503, "the request would wait longer than its class of work allows", "retry after the stated time"),
    /** No owner of a server for the service can be reached. */
    NO_CAPACITY(503, "no server for the request can be reached", "retry after the stated time at the next address"),
    /** The grant expired several times before the send started. */
    GRANT_LAPSED(
            503,
            "the request could not be sent before its grant expired",
            "retry after the stated time at the next address"),
    /** The router can reach neither the store nor its peers. */
    ROUTER_CUT_OFF(
            503, "the router can reach neither the store nor other routers", "retry at once at the next address"),
    /** The router is stopping. */
    ROUTER_STOPPING(503, "the router is stopping", "retry at once at the next address"),
    /** No connection to a server could be established. */
    CONNECT_FAILED(503, "no connection to a server could be established", "retry after the stated time"),
    /** The servers reported that they are cold, that is, still starting. */
    SERVER_COLD(503, "the servers are starting", "retry after the stated time"),
    /** The servers rejected the fencing number as outdated. */
    SERVER_FENCED(503, "the servers have a new owner", "retry after the stated time"),
    /** The write of the idempotency record could not be confirmed. */
    STORE_UNREACHABLE(
            503, "the request could not be recorded", "retry after the stated time with the same Idempotency-Key"),
    /** The idempotency key was already used with a different request. */
    KEY_REUSED(
            422,
            "the idempotency key was already used with a different request",
            "use a new Idempotency-Key for each request"),
    /** An earlier request with this key is still being executed. */
    IN_PROGRESS(
            409,
            "an earlier request with this key is still being executed",
            "retry after the stated time with the same Idempotency-Key"),
    /** This request or an earlier one with this key may have been executed, and its response is lost. */
    OUTCOME_UNKNOWN(
            409,
            "the request may have been executed and its response is lost",
            "check in the application whether the request was executed before repeating it with a new key"),
    /** An earlier request with this key was executed, and its response was too large to be recorded. */
    ANSWER_NOT_RECORDED(
            409,
            "an earlier request with this key was executed; its response was too large to be recorded",
            "read the result from the application; the request was executed and must not be repeated"),
    /** The connection to the server broke after the request was written. */
    CONNECTION_BROKEN(
            502, "the connection to the server broke while it was executing the request", "retry the request"),
    /** The server failed while executing the request. */
    SERVER_FAILED(502, "the server failed while executing the request", "retry the request"),
    /** The response exceeds the size that the router buffers. */
    ANSWER_TOO_LARGE(502, "the response is too large to be buffered", "request less data, or a streamed response");

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
     * Returns the description of the error for callers.
     *
     * @return message
     */
    public String message() {
        return message;
    }

    /**
     * Returns what the caller can do about the error.
     *
     * @return remedy
     */
    public String remedy() {
        return remedy;
    }

    /**
     * Returns the name used in error responses and events.
     *
     * @return lower-case name with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
