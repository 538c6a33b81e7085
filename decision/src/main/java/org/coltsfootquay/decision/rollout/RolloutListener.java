package org.coltsfootquay.decision.rollout;

/** Receives the events of roll-outs at this router. */
public interface RolloutListener {

    /**
     * The share of the target at this router changed its rule.
     *
     * @param order order
     * @param phase new phase
     * @param verdict figures that led to it
     */
    void phaseChanged(RolloutOrder order, RolloutPhase phase, Verdict verdict);

    /**
     * This router asks the store to change the status.
     *
     * @param order order
     * @param state new state
     */
    void statusWritten(RolloutOrder order, RolloutState state);
}
