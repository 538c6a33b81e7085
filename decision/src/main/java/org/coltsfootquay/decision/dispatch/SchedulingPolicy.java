package org.coltsfootquay.decision.dispatch;

import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import org.coltsfootquay.decision.fairness.ServiceTotals;

/**
 * Order in which the workspaces of an owner are served.
 *
 * <p>The dispatcher reports each change of a queue; the policy keeps its own heaps, so that the choice of the next
 * workspace takes logarithmic time.
 */
interface SchedulingPolicy {

    /**
     * Returns the order of the requests of one workspace.
     *
     * @return order
     */
    Comparator<WaitingRequest> requestOrder();

    /**
     * The first request of a queue changed, or the queue became empty or non-empty.
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
     * A request of the queue was granted.
     *
     * @param queue queue
     * @param estimatedUnits estimated service of the request
     * @param nowNanos current time
     */
    void granted(WorkspaceQueue queue, long estimatedUnits, long nowNanos);

    /**
     * The service of a granted request turned out different from what was counted, or the grant was taken back.
     *
     * @param queue queue
     * @param differenceUnits actual minus counted service
     * @param nowNanos current time
     */
    void corrected(WorkspaceQueue queue, long differenceUnits, long nowNanos);

    /**
     * A waiting request was sent to another owner, where its service will count.
     *
     * @param queue queue
     * @param estimatedUnits estimated service of the request
     * @param nowNanos current time
     */
    void redirected(WorkspaceQueue queue, long estimatedUnits, long nowNanos);

    /**
     * New fleet totals arrived.
     *
     * @param totals totals of the service
     * @param nowNanos current time
     */
    void totalsChanged(ServiceTotals.Totals totals, long nowNanos);

    /**
     * Returns how many requests the owner starts before it starts a request that now joins the queue.
     *
     * @param queue queue
     * @param nowNanos current time
     * @return number of requests, not negative
     */
    double grantsAhead(WorkspaceQueue queue, long nowNanos);

    /**
     * Returns queues with a waiting request whose workspace consumes less than its reserved rate.
     *
     * @param largest largest number to return
     * @param nowNanos current time
     * @return queues, earliest deadline first
     */
    List<WorkspaceQueue> reservedQueues(int largest, long nowNanos);

    /**
     * Returns workspaces with requests in flight that may give up a stream to reserved capacity.
     *
     * @param nowNanos current time
     * @return queues, the most over-served workspace first
     */
    Iterator<WorkspaceQueue> overServed(long nowNanos);
}
