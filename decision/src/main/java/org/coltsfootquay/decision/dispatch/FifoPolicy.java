package org.coltsfootquay.decision.dispatch;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.coltsfootquay.decision.fairness.ServiceTotals;

/** Serves all requests in the order of their arrival at the owner; the baseline of measurements. */
final class FifoPolicy implements SchedulingPolicy {

    private final TreeMap<Long, WorkspaceQueue> byHeadSequence = new TreeMap<>();
    private final Map<WorkspaceQueue, Long> headSequences = new HashMap<>();
    private int waiting;
    private final Map<WorkspaceQueue, Integer> sizes = new HashMap<>();

    @Override
    public Comparator<WaitingRequest> requestOrder() {
        return WaitingRequest.BY_ARRIVAL;
    }

    @Override
    public void queueChanged(WorkspaceQueue queue, long nowNanos) {
        Long former = headSequences.remove(queue);
        if (former != null) {
            byHeadSequence.remove(former);
        }
        Integer formerSize = queue.isEmpty() ? sizes.remove(queue) : sizes.put(queue, queue.size());
        waiting += queue.size() - (formerSize == null ? 0 : formerSize);
        WaitingRequest head = queue.head();
        if (head != null) {
            headSequences.put(queue, head.sequence);
            byHeadSequence.put(head.sequence, queue);
        }
    }

    @Override
    public WorkspaceQueue nextQueue(long nowNanos) {
        return byHeadSequence.isEmpty() ? null : byHeadSequence.firstEntry().getValue();
    }

    @Override
    public void granted(WorkspaceQueue queue, long estimatedUnits, long nowNanos) {
        // The order of arrival does not depend on service received.
    }

    @Override
    public void corrected(WorkspaceQueue queue, long differenceUnits, long nowNanos) {
        // The order of arrival does not depend on service received.
    }

    @Override
    public void redirected(WorkspaceQueue queue, long estimatedUnits, long nowNanos) {
        // The order of arrival does not depend on service received.
    }

    @Override
    public void totalsChanged(ServiceTotals.Totals totals, long nowNanos) {
        // The order of arrival does not depend on service received.
    }

    @Override
    public double grantsAhead(WorkspaceQueue queue, long nowNanos) {
        return waiting + 1.0;
    }

    @Override
    public List<WorkspaceQueue> reservedQueues(int largest, long nowNanos) {
        return List.of();
    }

    @Override
    public Iterator<WorkspaceQueue> overServed(long nowNanos) {
        return Collections.emptyIterator();
    }
}
