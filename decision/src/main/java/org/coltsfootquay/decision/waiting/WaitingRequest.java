package org.coltsfootquay.decision.waiting;

import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.WorkspaceId;

/** Request that waits at a router; compared by identity. */
public final class WaitingRequest {

    private final RequestClass requestClass;
    private final WorkspaceId workspace;
    private final double tokens;
    private final long bytes;
    private final long onTimeUntilNanos;
    private final long expiresNanos;
    private final Listener listener;

    /**
     * Creates a request.
     *
     * @param requestClass class of the request
     * @param workspace workspace
     * @param tokens size of the request
     * @param bytes size of its body
     * @param onTimeUntilNanos time until which it has to be sent for a response within the target of its route
     * @param expiresNanos time at which it is refused unless it was sent
     * @param listener receives the outcome
     */
    public WaitingRequest(
            RequestClass requestClass,
            WorkspaceId workspace,
            double tokens,
            long bytes,
            long onTimeUntilNanos,
            long expiresNanos,
            Listener listener) {
        this.requestClass = ArgumentUtils.requireValue(requestClass, "requestClass");
        this.workspace = ArgumentUtils.requireValue(workspace, "workspace");
        this.tokens = tokens;
        this.bytes = bytes;
        this.onTimeUntilNanos = onTimeUntilNanos;
        this.expiresNanos = expiresNanos;
        this.listener = ArgumentUtils.requireValue(listener, "listener");
    }

    /** Receives what becomes of a waiting request. */
    public interface Listener {

        /** Checks again whether the request can be sent; it leaves the queue if it is sent or refused. */
        void recheck();

        /**
         * Refuses the request, which has left the queue.
         *
         * @param reason reason
         */
        void refuse(Refusal reason);
    }

    /** Reasons for which a request that waits, or would have to wait, is refused. */
    public enum Refusal {
        /** It has waited for the part of its time that it may wait. */
        WAITED_TOO_LONG,

        /** The queue is full of requests that go first. */
        QUEUE_FULL
    }

    /**
     * Returns the class.
     *
     * @return class
     */
    public RequestClass requestClass() {
        return requestClass;
    }

    /**
     * Returns the workspace.
     *
     * @return workspace
     */
    public WorkspaceId workspace() {
        return workspace;
    }

    /**
     * Returns the size.
     *
     * @return size in tokens
     */
    public double tokens() {
        return tokens;
    }

    /**
     * Returns the time at which the request is refused unless it was sent.
     *
     * @return time in nanoseconds
     */
    public long expiresNanos() {
        return expiresNanos;
    }

    /**
     * Returns the receiver of the outcome.
     *
     * @return listener
     */
    public Listener listener() {
        return listener;
    }

    long bytes() {
        return bytes;
    }

    boolean isLate(long nowNanos) {
        return nowNanos - onTimeUntilNanos > 0;
    }
}
