package org.coltsfootquay.decision.rollout;

import java.util.Optional;
import java.util.function.Consumer;
import org.coltsfootquay.decision.common.ServiceName;

/** Rows of the store with the states of roll-outs; calls do not block. */
public interface RolloutStore {

    /**
     * Reads the status of a service.
     *
     * @param service service
     * @param callback receives the row, {@link RolloutStatus#NONE} without one, or empty if the store did not answer
     */
    void read(ServiceName service, Consumer<Optional<RolloutStatus>> callback);

    /**
     * Writes a status if neither the order nor the status has changed.
     *
     * @param order order; the write has no effect once its row has another revision
     * @param state new state
     * @param expectedRevision revision that the status must have, 0 for no row
     * @param callback called after the answer; whatever it was, only a read tells which state is in force
     */
    void write(RolloutOrder order, RolloutState state, long expectedRevision, Runnable callback);
}
