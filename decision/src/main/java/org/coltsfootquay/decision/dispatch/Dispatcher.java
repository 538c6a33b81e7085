package org.coltsfootquay.decision.dispatch;

import java.util.List;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.fairness.WorkspaceUsage;

/** Schedules the requests of one service at an owner. Not thread-safe; all calls must come from one thread. */
public interface Dispatcher {

    /**
     * Handles an event.
     *
     * @param event event
     * @param nowNanos current time of the monotonic clock
     * @return actions in the order in which they must be executed
     */
    List<DispatchAction> handle(DispatchEvent event, long nowNanos);

    /**
     * Returns the service units charged since the last call and resets the counters. Backlogged workspaces are included
     * even if nothing was charged.
     *
     * @return increments
     */
    List<WorkspaceUsage> drainUsage();

    /**
     * Returns the current load.
     *
     * @param nowNanos current time of the monotonic clock
     * @return load of this owner for the service
     */
    ServiceTotals.OwnerLoad load(long nowNanos);
}
