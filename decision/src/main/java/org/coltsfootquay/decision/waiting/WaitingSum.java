package org.coltsfootquay.decision.waiting;

/**
 * Sum of requests that wait.
 *
 * @param requests number of requests
 * @param tokens their weighted size
 */
public record WaitingSum(int requests, double tokens) {

    /**
     * Adds another sum.
     *
     * @param other other sum
     * @return sum of both
     */
    public WaitingSum plus(WaitingSum other) {
        return new WaitingSum(requests + other.requests, tokens + other.tokens);
    }
}
