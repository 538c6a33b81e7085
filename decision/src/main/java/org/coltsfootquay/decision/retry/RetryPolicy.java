package org.coltsfootquay.decision.retry;

import org.coltsfootquay.decision.common.ServiceName;

/** Decides whether and when a request is sent again after a failure. */
public interface RetryPolicy {

    /**
     * Counts a request that arrived; the budget of retries is a part of these.
     *
     * @param service service
     * @param nowNanos current time of the monotonic clock
     */
    void recordRequest(ServiceName service, long nowNanos);

    /**
     * Takes one retry from the budget of a service.
     *
     * @param service service
     * @param retry number of the retry of this request, starting at 1
     * @param deadlineNanos time after which no retry may start
     * @param nowNanos current time of the monotonic clock
     * @return delay until the retry in nanoseconds, or -1 when it is not allowed
     */
    long tryRetry(ServiceName service, int retry, long deadlineNanos, long nowNanos);
}
