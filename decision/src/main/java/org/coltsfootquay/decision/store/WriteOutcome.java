package org.coltsfootquay.decision.store;

/** What is known about a write to the table service. */
public enum WriteOutcome {
    /** The write took effect. */
    APPLIED,
    /** The write's condition did not hold, or the store stated that it did nothing. */
    NOT_APPLIED,
    /** The answer was lost or late; the write may have taken effect or may still do so. */
    UNKNOWN
}
