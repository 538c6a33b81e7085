package org.coltsfootquay.decision.dispatch;

import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import org.coltsfootquay.decision.fairness.ServiceTotals;

/**
 * Policy that selects the order in which an owner serves its workspaces.
 *
 * <p>The dispatcher reports every change of a queue; the policy maintains its own sorted structures, so that selecting
 * the next workspace takes logarithmic time.
 */
interface SchedulingPolicy {

    /**
     * Returns the order of the requests within one workspace.
     *
     * @return comparator
     */
    Comparator<WaitingRequest> requestOrder();

    /**
     * Handles a change of the first request or of the size of a queue.
     *
     * @param queue queue
     * @param nowNanos current time
     */
    void queueChanged(WorkspaceQueue queue, long nowNanos);

    /**
     * Returns the queue whose first request should start next.
     *
     * @param nowNanos current time
     * @return queue, or null when no request waits
     */
    WorkspaceQueue nextQueue(long nowNanos);

    /**
     * Charges the estimated service of a request that was granted.
     *
     * @param queue queue
     * @param estimatedUnits estimated service of the request
     * @param nowNanos current time
     */
    void granted(WorkspaceQueue queue, long estimatedUnits, long nowNanos);

    /**
     * Corrects the charged service after the actual service of a granted request differed, or the grant was revoked.
     *
     * @param queue queue
     * @param differenceUnits actual minus charged service
     * @param nowNanos current time
     */
    void corrected(WorkspaceQueue queue, long differenceUnits, long nowNanos);

    /**
     * Handles the redirection of a waiting request to another owner, where its service is charged.
     *
     * @param queue queue
     * @param estimatedUnits estimated service of the request
     * @param nowNanos current time
     */
    void redirected(WorkspaceQueue queue, long estimatedUnits, long nowNanos);

    /**
     * Applies new fleet totals.
     *
     * @param totals totals of the service
     * @param nowNanos current time
     */
    void totalsChanged(ServiceTotals.Totals totals, long nowNanos);

    /**
     * Estimates how many requests the owner starts until it starts a request that is queued now.
     *
     * @param queue queue
     * @param nowNanos current time
     * @return number of requests, not negative
     */
    double grantsAhead(WorkspaceQueue queue, long nowNanos);

    /**
     * Returns queues with a waiting request whose workspace consumes less than its reserved rate.
     *
     * @param maxCount maximum number of queues to return
     * @param nowNanos current time
     * @return queues, earliest deadline first
     */
    List<WorkspaceQueue> reservedQueues(int maxCount, long nowNanos);

    /**
     * Returns workspaces with requests in flight whose streams may be preempted for reserved capacity.
     *
     * @param nowNanos current time
     * @return queues, the most over-served workspace first
     */
    Iterator<WorkspaceQueue> overServed(long nowNanos);
}
