package org.coltsfootquay.decision.store;

/** Known outcome of a write to the table service or object store. */
public enum WriteOutcome {
    /** The write was applied. */
    APPLIED,
    /** The condition of the write did not hold, or the store stated that it did not apply the write. */
    NOT_APPLIED,
    /** The response was lost or late; the write may have been applied or may still be applied. */
    UNKNOWN
}
