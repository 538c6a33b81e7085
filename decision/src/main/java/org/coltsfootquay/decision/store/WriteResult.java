package org.coltsfootquay.decision.store;

import java.util.Optional;

/**
 * Result of one write.
 *
 * @param outcome known outcome of the write
 * @param revision revision after the write; 0 unless it was applied
 * @param current row that did not meet the condition, if the store returned it
 */
public record WriteResult(WriteOutcome outcome, long revision, Optional<Row> current) {

    /**
     * Returns the result of a write whose response was lost.
     *
     * @return result with outcome {@link WriteOutcome#UNKNOWN}
     */
    public static WriteResult unknown() {
        return new WriteResult(WriteOutcome.UNKNOWN, 0, Optional.empty());
    }
}
