package org.coltsfootquay.decision.store;

/** Condition under which a write to a row takes effect; evaluated by the table service. */
public sealed interface RowCondition {

    /** The row does not exist. */
    record Absent() implements RowCondition {}

    /** The row does not exist or its time to live has ended by the clock of the store. */
    record AbsentOrExpired() implements RowCondition {}

    /**
     * The row exists with this revision, expired or not.
     *
     * @param revision expected revision
     */
    record RevisionIs(long revision) implements RowCondition {}

    /**
     * The row does not exist, or its field has this value; makes a repeated write idempotent.
     *
     * @param field name of the field
     * @param value expected value
     */
    record AbsentOrFieldIs(String field, String value) implements RowCondition {}

    /** The write always takes effect. */
    record Always() implements RowCondition {}
}
