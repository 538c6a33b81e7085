package org.coltsfootquay.decision.rollout;

import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Row of the store with the state of the last roll-out of a service.
 *
 * @param state state
 * @param target target of the roll-out
 * @param revision revision of the row; 0 if there is none
 */
public record RolloutStatus(RolloutState state, String target, long revision) {

    /** No row. */
    public static final RolloutStatus NONE = new RolloutStatus(RolloutState.RUNNING, "", 0);

    /** Checks the values. */
    public RolloutStatus {
        ArgumentUtils.requireValue(state, "state");
        ArgumentUtils.requireValue(target, "target");
    }

    /**
     * Returns whether the row states the progress of an order and not of an earlier one.
     *
     * @param order order
     * @return true if the row was written after the order and has the same target
     */
    boolean belongsTo(RolloutOrder order) {
        return revision > order.revision() && target.equals(order.target());
    }
}
