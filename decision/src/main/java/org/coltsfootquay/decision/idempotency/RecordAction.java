package org.coltsfootquay.decision.idempotency;

import org.coltsfootquay.decision.store.RowWrite;

/** Output of a {@link RecordStateMachine}: an operation on the store or an outcome. */
public sealed interface RecordAction {

    /**
     * Performs a write; its result is returned with the same sequence number.
     *
     * @param sequence sequence number
     * @param write write
     */
    record Write(long sequence, RowWrite write) implements RecordAction {}

    /**
     * Reads the row; the result is returned with the same sequence number.
     *
     * @param sequence sequence number
     * @param key key of the row
     */
    record Read(long sequence, String key) implements RecordAction {}

    /** The row belongs to this attempt, which may send the request once. */
    record Held() implements RecordAction {}

    /**
     * An earlier attempt finished with this response.
     *
     * @param response recorded response
     */
    record Replayed(RecordedResponse response) implements RecordAction {}

    /**
     * The attempt must not send the request.
     *
     * @param reason reason
     */
    record Denied(Reason reason) implements RecordAction {

        /** Reason why an attempt must not send the request. */
        public enum Reason {
            /** The idempotency key was used with a different request. */
            KEY_REUSED,
            /** An earlier attempt is in progress at a router that is alive. */
            IN_PROGRESS,
            /** An earlier attempt may have run. */
            OUTCOME_UNKNOWN,
            /** An earlier attempt ran; its response was too large for the record. */
            ANSWER_NOT_RECORDED,
            /** The record could not be confirmed in time. */
            STORE_UNREACHABLE
        }
    }

    /** The final state was recorded, or the attempts to record it were given up; no further actions follow. */
    record Finalized() implements RecordAction {}
}
