package org.coltsfootquay.decision.store;

import java.time.Duration;
import java.util.Optional;

/** Conditional write to a row. */
public sealed interface RowWrite {

    /**
     * Returns the key of the row.
     *
     * @return key
     */
    String key();

    /**
     * Returns the condition of the write.
     *
     * @return condition
     */
    RowCondition condition();

    /**
     * Writes the content of a row.
     *
     * @param key key of the row
     * @param value new content
     * @param condition condition
     * @param timeToLive time after which the row expires, or empty if it never expires
     */
    record Put(String key, RowValue value, RowCondition condition, Optional<Duration> timeToLive) implements RowWrite {}

    /**
     * Extends the time to live of a row without a new revision; not reported by {@link TableStore#changes}.
     *
     * @param key key of the row
     * @param condition condition
     * @param timeToLive new time to live, counted from the write according to the store's clock
     */
    record Touch(String key, RowCondition condition, Duration timeToLive) implements RowWrite {}

    /**
     * Deletes a row.
     *
     * @param key key of the row
     * @param condition condition
     */
    record Delete(String key, RowCondition condition) implements RowWrite {}

    /**
     * Checks a condition without writing; used in atomic batches.
     *
     * @param key key of the row
     * @param condition condition
     */
    record Check(String key, RowCondition condition) implements RowWrite {}
}
