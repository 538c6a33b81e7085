package org.coltsfootquay.decision.dispatch;

import java.util.Comparator;

/** Request in the queue of a workspace. */
final class WaitingRequest {

    /** Earliest deadline first; requests with equal deadlines in the order of their arrival. */
    static final Comparator<WaitingRequest> BY_DEADLINE = Comparator.<WaitingRequest>comparingLong(
                    waiting -> waiting.request.deadlineNanos())
            .thenComparingLong(waiting -> waiting.sequence);

    /** In the order of arrival. */
    static final Comparator<WaitingRequest> BY_ARRIVAL = Comparator.comparingLong(waiting -> waiting.sequence);

    final QueuedRequest request;
    final WorkspaceQueue queue;
    final long sequence;
    final long arrivedNanos;

    /** Stream that is being cancelled to make room for this request, or null. */
    GrantedAttempt victim;

    WaitingRequest(QueuedRequest request, WorkspaceQueue queue, long sequence, long arrivedNanos) {
        this.request = request;
        this.queue = queue;
        this.sequence = sequence;
        this.arrivedNanos = arrivedNanos;
    }
}
