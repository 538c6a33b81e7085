package org.coltsfootquay.decision.peer;

/**
 * State of a copy of a table, by which routers compare their copies.
 *
 * @param era era of the store in which the copy was read, 0 if the store states none; revisions of different eras
 *     denote different changes
 * @param revision revision of the last change that the copy is known to include; decides which router asks the other
 *     one, and proves nothing about the other rows
 * @param digest digest over the keys and revisions of all rows, 0 without rows; equal if the rows are equal
 */
public record TableState(long era, long revision, long digest) {

    /**
     * Creates the state of a copy of a store that states no era.
     *
     * @param revision revision of the last change
     * @param digest digest over all rows
     */
    public TableState(long revision, long digest) {
        this(0, revision, digest);
    }

    /**
     * Returns whether another copy has the same rows.
     *
     * @param other state of the other copy
     * @return false if the copies are of different eras
     */
    public boolean hasSameRows(TableState other) {
        return era == other.era && digest == other.digest;
    }

    /**
     * Compares the latest changes; an older era never wins.
     *
     * @param other state of the other copy
     * @return negative, zero or positive if this copy is older, as old or newer
     */
    public int compareChanges(TableState other) {
        return era != other.era ? Long.compare(era, other.era) : Long.compare(revision, other.revision);
    }
}
