package org.coltsfootquay.decision.idempotency;

import org.coltsfootquay.decision.store.RowWrite;

/** Output of a {@link RecordStateMachine}. */
public sealed interface RecordAction {

    /**
     * Carry out a write and return its result with the same number.
     *
     * @param sequence number
     * @param write write
     */
    record Write(long sequence, RowWrite write) implements RecordAction {}

    /**
     * Read the row and return the result with the same number.
     *
     * @param sequence number
     * @param key key of the row
     */
    record Read(long sequence, String key) implements RecordAction {}

    /** The row names this attempt: it may send, once. */
    record Held() implements RecordAction {}

    /**
     * An earlier attempt finished with this answer.
     *
     * @param response answer
     */
    record Replayed(RecordedResponse response) implements RecordAction {}

    /**
     * The attempt must not send.
     *
     * @param reason reason
     */
    record Denied(Reason reason) implements RecordAction {

        /** Reasons for which an attempt must not send. */
        public enum Reason {
            /** The key was used with another request. */
            KEY_REUSED,
            /** An earlier attempt is being executed by a router that is alive. */
            IN_PROGRESS,
            /** An earlier attempt may have run. */
            OUTCOME_UNKNOWN,
            /** An earlier attempt ran; its answer was too large for the record. */
            ANSWER_NOT_RECORDED,
            /** The record could not be confirmed in time. */
            STORE_UNREACHABLE
        }
    }

    /** The ending is recorded, or recording it was given up; no further steps follow. */
    record Finalized() implements RecordAction {}
}
