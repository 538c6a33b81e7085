package org.coltsfootquay.decision.store;

/** Condition of a write to a row, evaluated by the table service. */
public sealed interface RowCondition {

    /** The row does not exist. */
    record Absent() implements RowCondition {}

    /** The row does not exist, or its time to live has ended according to the store's clock. */
    record AbsentOrExpired() implements RowCondition {}

    /**
     * The row exists with this revision, whether or not it has expired.
     *
     * @param revision expected revision
     */
    record RevisionIs(long revision) implements RowCondition {}

    /**
     * The row does not exist, or its field has this value. This makes a repeated write idempotent.
     *
     * @param field name of the field
     * @param value expected value
     */
    record AbsentOrFieldIs(String field, String value) implements RowCondition {}

    /** The write is always applied. */
    record Always() implements RowCondition {}
}
