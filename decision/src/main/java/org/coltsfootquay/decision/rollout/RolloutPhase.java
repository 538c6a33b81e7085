package org.coltsfootquay.decision.rollout;

/** Phase of a roll-out at one router. */
public enum RolloutPhase {
    /** The target gets a small share of the requests. */
    CANARY,

    /** The fleet's evidence is sufficient, and the share of the target grows to all requests. */
    SHIFTING,

    /** The target gets no requests. */
    STOPPED,

    /** The store states that the roll-out is completed. */
    COMPLETED;

    /**
     * Returns the state that the status of a roll-out in this phase has in the end.
     *
     * @return state
     */
    RolloutState state() {
        return switch (this) {
            case CANARY, SHIFTING -> RolloutState.RUNNING;
            case STOPPED -> RolloutState.ROLLED_BACK;
            case COMPLETED -> RolloutState.COMPLETED;
        };
    }
}
