package org.coltsfootquay.cli.load;

/**
 * What a caller saw of one call.
 *
 * @param workspace workspace of the caller
 * @param classOfWork class of work
 * @param outcome how the call ended
 * @param detail error code, or a description of what was wrong; empty after success
 * @param startedMillis start of the call since the start of the run
 * @param firstOutputMillis time from the start of the call to the first token or byte; -1 if none came
 * @param totalMillis time from the start of the call to its end
 * @param longestGapMillis longest time between two tokens; 0 for calls without tokens
 * @param units service units that the caller received
 */
public record CallResult(
        String workspace,
        String classOfWork,
        CallOutcome outcome,
        String detail,
        long startedMillis,
        long firstOutputMillis,
        long totalMillis,
        long longestGapMillis,
        long units) {}
