package org.coltsfootquay.decision.shutdown;

/** Port that counts the work a planned stop waits for. */
@FunctionalInterface
public interface UnfinishedRequestCounter {

    /**
     * Returns the requests that this router still works on: waiting in its queues, being executed or being answered.
     *
     * @return number of requests
     */
    int count();
}
