package org.coltsfootquay.router.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.peer.TableState;

/**
 * Copy of one table of the store; used on one event loop.
 *
 * <p>No row reverts to an older version. A row whose removal was seen returns only with a newer version; one that is
 * missing in a full read is removed up to the revision of that read, unless a later read contains it. That a copy
 * includes a change proves nothing about earlier changes, since a watch may miss some while the store drops its
 * history.
 *
 * <p>All rows are of one era of the store. Revisions of different eras cannot be compared, so that a later era starts
 * with an empty copy, and an older one is ignored.
 */
public final class TableMirror {

    /** Maximum number of removals that are retained, more than a fleet makes in hours; the oldest are dropped first. */
    private static final int MAX_REMOVALS = 512;

    private final TreeMap<String, TableRow> rows = new TreeMap<>();
    private final Map<String, TableRow> removals = new HashMap<>();
    private long era;
    private long readRevision;
    private long changeRevision;
    private long watchRevision;
    private long digest;
    private OptionalLong confirmedMillis = OptionalLong.empty();

    /** Cached rows of {@link #snapshot()}; null after a change until the next call. */
    private List<TableRow> snapshotRows;

    /** Creates an empty copy at revision 0. */
    public TableMirror() {
        // The first read fills the copy.
    }

    /**
     * Returns the era of the store in which the copy was read.
     *
     * @return era, 0 if the store states none
     */
    public long era() {
        return era;
    }

    /**
     * Empties the copy, since the store has returned from an older copy of its own.
     *
     * @param newEra era of the store, later than that of the copy
     */
    public void restart(long newEra) {
        ArgumentUtils.requirePositive(newEra - era, "difference of the eras");
        era = newEra;
        rows.clear();
        removals.clear();
        readRevision = 0;
        changeRevision = 0;
        watchRevision = 0;
        digest = 0;
        confirmedMillis = OptionalLong.empty();
        snapshotRows = null;
    }

    /**
     * Returns whether a copy of another router replaces this one.
     *
     * @param copy copy
     * @return true if the copy is of a later era and includes a full read in it
     */
    public boolean isReplacedBy(TableSnapshot copy) {
        return copy.era() > era && copy.readRevision() > 0;
    }

    /**
     * Returns the revision of the latest full read that the copy includes, by this router or another one.
     *
     * @return revision, 0 before the first read
     */
    public long readRevision() {
        return readRevision;
    }

    /**
     * Returns the revision after which the next watch continues.
     *
     * @return revision, 0 before the first read
     */
    public long watchRevision() {
        return watchRevision;
    }

    /**
     * Returns the time at which the copy was last known to include all changes.
     *
     * @return milliseconds of the store's clock, empty while unknown
     */
    public OptionalLong confirmedMillis() {
        return confirmedMillis;
    }

    /**
     * Records that the copy includes all changes up to a time.
     *
     * @param storeMillis milliseconds of the store's clock
     */
    public void confirm(long storeMillis) {
        confirmedMillis = OptionalLong.of(storeMillis);
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
     * Returns the state by which copies are compared.
     *
     * @return state; copies with the same digest have the same rows
     */
    public TableState state() {
        return new TableState(era, changeRevision, digest);
    }

    /**
     * Returns the content of the copy for another router.
     *
     * @return rows, retained removals and revision of the latest full read; the collection of rows is the same object
     *     as in the last call unless a row has changed
     */
    public TableSnapshot snapshot() {
        if (snapshotRows == null) {
            List<TableRow> all = new ArrayList<>(rows.values());
            all.addAll(removals.values());
            snapshotRows = List.copyOf(all);
        }
        return new TableSnapshot(snapshotRows, readRevision, changeRevision, confirmedMillis, era);
    }

    /**
     * Merges a full read of the store.
     *
     * @param newRows all rows of the table
     * @param revision revision of the store at the time of the read; the next watch continues there
     * @return false if the read is older than the revision that it states, and the next watch must not continue there
     */
    public boolean replace(Collection<TableRow> newRows, long revision) {
        boolean stale = newRows.stream().anyMatch(row -> isStale(row, revision));
        if (stale) {
            return false;
        }
        merge(new TableSnapshot(newRows, revision, 0, OptionalLong.empty(), era));
        watchRevision = revision;
        return true;
    }

    /**
     * Merges the copy of another router.
     *
     * @param copy copy
     * @return true if a row has changed; false for a copy of another era
     */
    public boolean merge(TableSnapshot copy) {
        if (copy.era() != era) {
            return false;
        }
        long before = digest;
        boolean laterRead = copy.readRevision() > readRevision;
        Set<String> copiedKeys = new HashSet<>();
        for (TableRow row : copy.rows()) {
            copiedKeys.add(row.key());
            if (isNewer(row, laterRead ? 0 : readRevision)) {
                put(row);
            }
        }
        if (laterRead) {
            removeAllExcept(copiedKeys, copy.readRevision());
            readRevision = copy.readRevision();
        }
        changeRevision = Math.max(changeRevision, copy.revision());
        return digest != before;
    }

    /**
     * Applies the changes that a watch has delivered.
     *
     * @param changes changed and deleted rows in order
     * @param revision revision after which the next watch continues
     * @return changes that are newer than the copy
     */
    public List<TableRow> apply(List<TableRow> changes, long revision) {
        List<TableRow> newChanges = new ArrayList<>();
        for (TableRow row : changes) {
            if (isNewer(row, readRevision)) {
                put(row);
                newChanges.add(row);
            }
        }
        watchRevision = Math.max(watchRevision, revision);
        return newChanges;
    }

    /** Removes the rows that a full read did not contain, unless they are newer. */
    private void removeAllExcept(Set<String> keys, long revision) {
        for (TableRow row : List.copyOf(rows.values())) {
            if (row.revision() <= revision && !keys.contains(row.key())) {
                rows.remove(row.key());
                snapshotRows = null;
                digest -= digestOf(row);
            }
        }
    }

    private void put(TableRow row) {
        snapshotRows = null;
        changeRevision = Math.max(changeRevision, row.revision());
        TableRow previous = row.deleted() ? rows.remove(row.key()) : rows.put(row.key(), row);
        if (previous != null) {
            digest -= digestOf(previous);
        }
        if (row.deleted()) {
            removals.put(row.key(), row);
            if (removals.size() > MAX_REMOVALS) {
                removals.remove(removals.values().stream()
                        .min(Comparator.comparingLong(TableRow::revision))
                        .orElseThrow()
                        .key());
            }
        } else {
            removals.remove(row.key());
            digest += digestOf(row);
        }
    }

    /**
     * Returns whether a change is newer than all that is known of its row. A row that is not held was removed up to the
     * revision of a read without it, also if an earlier removal is known.
     */
    private boolean isNewer(TableRow change, long absentRevision) {
        TableRow known = known(change.key());
        if (known == null) {
            return change.revision() > absentRevision;
        }
        long knownRevision = known.deleted() ? Math.max(known.revision(), absentRevision) : known.revision();
        return change.revision() > knownRevision;
    }

    /** Returns whether a row of a full read contradicts a change up to the revision of that read. */
    private boolean isStale(TableRow row, long revision) {
        TableRow known = known(row.key());
        return known != null && row.revision() < known.revision() && known.revision() <= revision;
    }

    private TableRow known(String key) {
        TableRow row = rows.get(key);
        return row == null ? removals.get(key) : row;
    }

    private static long digestOf(TableRow row) {
        return HashUtils.mix(HashUtils.hash(row.key()) + row.revision());
    }
}
