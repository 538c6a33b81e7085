package org.coltsfootquay.decision.dispatch;

/**
 * What an entry router reports about an attempt that ended after its grant.
 *
 * @param outcome how it ended
 * @param totalUnits service units it received in all
 * @param firstTokenMillis time from the send to the first token or byte; 0 if none came
 * @param tokenIntervalP95Millis 95th percentile of the time between tokens; 0 if fewer than two came
 * @param serverMillis time from the send to the end
 */
public record EndReport(
        Outcome outcome, long totalUnits, int firstTokenMillis, int tokenIntervalP95Millis, long serverMillis) {

    /** Ways in which an attempt ends. */
    public enum Outcome {
        /** The whole answer arrived. */
        COMPLETED,
        /** The server answered with an error. */
        FAILED,
        /** The server stated that it is cold and did not run the request. */
        COLD,
        /** The server refused the fencing number and did not run the request. */
        FENCED,
        /** The entry router cancelled the request. */
        CANCELLED,
        /** The connection to the server could not be made or broke. */
        BROKEN
    }
}
