package org.coltsfootquay.decision.rollout;

/** State of a roll-out that the fleet has agreed on. */
public enum RolloutState {
    /** Both versions may get requests. */
    RUNNING,

    /** The service has moved to the target; the servers of other versions stop. */
    COMPLETED,

    /** The service stays with the other versions; the servers of the target leave. */
    ROLLED_BACK;

    /**
     * Returns whether no other state follows.
     *
     * @return true if the roll-out has ended
     */
    public boolean isFinal() {
        return this != RUNNING;
    }
}
