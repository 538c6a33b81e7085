package org.coltsfootquay.decision.dispatch;

/**
 * Report of an entry router about an attempt that ended after its grant.
 *
 * @param outcome how it ended
 * @param totalUnits total service units that the attempt received
 * @param firstTokenMillis time from the send to the first token or byte; 0 if none came
 * @param tokenIntervalP95Millis 95th percentile of the time between tokens; 0 if fewer than two came
 * @param serverMillis time from the send to the end
 */
public record EndReport(
        Outcome outcome, long totalUnits, int firstTokenMillis, int tokenIntervalP95Millis, long serverMillis) {

    /** Outcomes of an attempt. */
    public enum Outcome {
        /** The complete response arrived. */
        COMPLETED,
        /** The server responded with an error. */
        FAILED,
        /** The server reported a cold start and did not run the request. */
        COLD,
        /** The server rejected the fencing number and did not run the request. */
        FENCED,
        /** The entry router cancelled the request. */
        CANCELLED,
        /** The connection to the server could not be established, or was lost. */
        BROKEN
    }
}
