package org.coltsfootquay.decision.shutdown;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Progress of this router's graceful shutdown.
 *
 * @param phase phase
 * @param acceptUntilNanos timer service time until which callers may still connect to a cached address
 */
public record ShutdownState(Phase phase, long acceptUntilNanos) {

    /** Topic written by the shutdown controller. */
    public static final Topic<ShutdownState> TOPIC =
            new Topic<>("shutdown", new ShutdownState(Phase.RUNNING, Long.MAX_VALUE));

    /** Phases of a graceful shutdown, in order. */
    public enum Phase {
        /** No shutdown was requested. */
        RUNNING,
        /** The router is announced as leaving, accepts requests without queueing them, and hands over its servers. */
        ACCEPTING,
        /** New requests are refused; servers are handed over and streams run to completion. */
        DRAINING,
        /** The membership row is being deleted. */
        ENDING,
        /** The process may exit. */
        ENDED
    }
}
