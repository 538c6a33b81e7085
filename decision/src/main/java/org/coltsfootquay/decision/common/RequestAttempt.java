package org.coltsfootquay.decision.common;

/**
 * One attempt to execute a request; messages about other attempts are ignored.
 *
 * @param request request that the attempt belongs to
 * @param attempt number of the attempt, starting at 1
 */
public record RequestAttempt(RequestId request, int attempt) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if the request is null or the number is less than 1
     */
    public RequestAttempt {
        ArgumentUtils.requireValue(request, "request");
        ArgumentUtils.requirePositive(attempt, "attempt");
    }

    /**
     * Returns the attempt that follows this one.
     *
     * @return the next attempt of the same request
     */
    public RequestAttempt next() {
        return new RequestAttempt(request, attempt + 1);
    }

    @Override
    public String toString() {
        return request + "/" + attempt;
    }
}
