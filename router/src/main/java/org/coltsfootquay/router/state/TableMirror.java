package org.coltsfootquay.router.state;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Copy of one table of the store; used on one event loop.
 *
 * <p>The copy never reverts to an older revision: older changes and older full copies are ignored. The revision that a
 * watch or a read reports does not prove that the copy is complete, since a watch may miss changes while the store
 * drops its history, and a read may be older than its revision. Which of two routers has the later copy therefore
 * follows from the last changes that the copies include.
 */
public final class TableMirror {

    private final TreeMap<String, TableRow> rows = new TreeMap<>();
    private long revision;
    private long watchRevision;
    private long changeRevision;

    /** Creates an empty copy at revision 0. */
    public TableMirror() {
        // The first read fills the copy.
    }

    /**
     * Returns the revision of the store up to which the copy is known to be complete: that of the last full copy or of
     * the last change.
     *
     * @return revision, 0 before the first read
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the revision after which the next watch continues.
     *
     * @return revision, at least {@link #revision()}
     */
    public long watchRevision() {
        return watchRevision;
    }

    /**
     * Returns the revision of the last change that the copy includes; equal copies have the same value.
     *
     * @return revision, 0 before the first read
     */
    public long changeRevision() {
        return changeRevision;
    }

    /**
     * Returns the rows.
     *
     * @return rows ordered by key
     */
    public Collection<TableRow> rows() {
        return List.copyOf(rows.values());
    }

    /**
     * Replaces all rows, unless the new rows are older than the copy.
     *
     * @param newRows all rows
     * @param newRevision revision up to which they are complete
     * @param newChangeRevision revision of the last change
     * @return false if the rows, or any one of them, are older than the copy
     */
    public boolean replace(Collection<TableRow> newRows, long newRevision, long newChangeRevision) {
        if (newRevision < revision || newRows.stream().anyMatch(this::isOlder)) {
            return false;
        }
        rows.clear();
        newRows.forEach(row -> rows.put(row.key(), row));
        revision = newRevision;
        watchRevision = newRevision;
        changeRevision = Math.max(changeRevision, newChangeRevision);
        return true;
    }

    /**
     * Merges the copy of another router that includes a later change.
     *
     * <p>A row of both copies keeps its newer version, whatever the revisions of the copies are. A row that only one
     * copy has was added or deleted; the copy with the higher revision decides.
     *
     * @param newRows all rows of the other copy
     * @param newRevision revision up to which they are complete
     * @param newChangeRevision revision of their last change
     * @return false if no row has changed
     */
    public boolean merge(Collection<TableRow> newRows, long newRevision, long newChangeRevision) {
        if (newChangeRevision <= changeRevision) {
            return false;
        }
        List<TableRow> changes = newRows.stream().filter(this::isNewer).toList();
        boolean changed = !changes.isEmpty();
        if (newRevision > revision) {
            Set<String> newKeys = newRows.stream().map(TableRow::key).collect(Collectors.toSet());
            changed |= rows.keySet().retainAll(newKeys);
            revision = newRevision;
            watchRevision = Math.max(watchRevision, newRevision);
        }
        changes.forEach(row -> rows.put(row.key(), row));
        changeRevision = newChangeRevision;
        return changed;
    }

    /**
     * Applies changes in order.
     *
     * @param changes changed and deleted rows
     * @param newRevision revision after which the next watch continues
     * @return changes that are newer than the copy
     */
    public List<TableRow> apply(List<TableRow> changes, long newRevision) {
        List<TableRow> newChanges = changes.stream().filter(this::isNewer).toList();
        for (TableRow row : newChanges) {
            if (row.deleted()) {
                rows.remove(row.key());
            } else {
                rows.put(row.key(), row);
            }
            changeRevision = Math.max(changeRevision, row.revision());
        }
        revision = Math.max(revision, changeRevision);
        watchRevision = Math.max(watchRevision, Math.max(revision, newRevision));
        return newChanges;
    }

    /** Returns whether a change is not included; one of a row that is not held may precede its deletion. */
    private boolean isNewer(TableRow change) {
        TableRow current = rows.get(change.key());
        return change.revision() > (current == null ? revision : current.revision());
    }

    private boolean isOlder(TableRow row) {
        TableRow current = rows.get(row.key());
        return current != null && row.revision() < current.revision();
    }
}
