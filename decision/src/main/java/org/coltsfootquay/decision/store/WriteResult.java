package org.coltsfootquay.decision.store;

import java.util.Optional;

/**
 * Result of one change.
 *
 * @param outcome what is known about the change
 * @param revision revision after the change; 0 unless applied
 * @param current row as it stood when the condition did not hold, if the store returned it
 */
public record WriteResult(WriteOutcome outcome, long revision, Optional<Row> current) {

    /**
     * Returns the result of a write whose answer was lost.
     *
     * @return a result with outcome {@link WriteOutcome#UNKNOWN}
     */
    public static WriteResult unknown() {
        return new WriteResult(WriteOutcome.UNKNOWN, 0, Optional.empty());
    }
}
