package org.coltsfootquay.decision.dispatch;

import java.util.List;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.fairness.WorkspaceUsage;

/** Queue of one service at an owner. Not thread-safe: one thread drives it. */
public interface Dispatcher {

    /**
     * Handles an event.
     *
     * @param event event
     * @param nowNanos current time of the monotonic clock
     * @return actions in the order in which they must be carried out
     */
    List<DispatchAction> handle(DispatchEvent event, long nowNanos);

    /**
     * Returns the service charged since the last call and starts counting anew; backlogged workspaces are included also
     * when nothing was charged.
     *
     * @return increments
     */
    List<WorkspaceUsage> drainUsage();

    /**
     * Returns the present load.
     *
     * @param nowNanos current time of the monotonic clock
     * @return load of this owner for the service
     */
    ServiceTotals.OwnerLoad load(long nowNanos);
}
