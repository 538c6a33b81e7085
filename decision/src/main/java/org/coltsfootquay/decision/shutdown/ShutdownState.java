package org.coltsfootquay.decision.shutdown;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Progress of this router's planned stop.
 *
 * @param phase phase
 * @param acceptUntilNanos time by the timer service until which callers may still arrive by a cached address
 */
public record ShutdownState(Phase phase, long acceptUntilNanos) {

    /** Topic written by the shutdown controller. */
    public static final Topic<ShutdownState> TOPIC =
            new Topic<>("shutdown", new ShutdownState(Phase.RUNNING, Long.MAX_VALUE));

    /** Phases of a planned stop, in order. */
    public enum Phase {
        /** No stop was asked for. */
        RUNNING,
        /** The router is announced as leaving, accepts requests, queues none at itself and hands its servers over. */
        ACCEPTING,
        /** New requests are refused; servers are handed over and streams run to their end. */
        DRAINING,
        /** The membership row is being deleted. */
        ENDING,
        /** The process may exit. */
        ENDED
    }
}
