package org.coltsfootquay.decision.shutdown;

/** Port that counts the requests for which a graceful shutdown waits. */
@FunctionalInterface
public interface UnfinishedRequestCounter {

    /**
     * Returns the number of requests that this router has not finished: waiting in its queues, being executed, or with
     * a response that is still being sent.
     *
     * @return number of requests
     */
    int count();
}
