package org.coltsfootquay.decision.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowChanges;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowValue;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * In-memory table service and object store with the semantics of {@code docs/platform-protocol.md}.
 *
 * <p>Calls take effect immediately; {@link SimulatedStoreClient} adds latency and faults.
 */
public final class SimulatedStore {

    private final TimerService clock;
    private final TreeMap<String, StoredRow> rows = new TreeMap<>();
    private final Map<String, byte[]> objects = new HashMap<>();
    private long revision;

    /**
     * Creates an empty store.
     *
     * @param clock clock of the store
     */
    public SimulatedStore(TimerService clock) {
        this.clock = clock;
    }

    /** Row as stored; a deleted row keeps the revision of its deletion. */
    private record StoredRow(RowValue value, long revision, boolean deleted, long expiresNanos) {}

    /**
     * Applies a batch of writes.
     *
     * @param writes writes
     * @param atomic whether either all or none of the writes are applied
     * @return one result per write, in order
     */
    public List<WriteResult> write(List<RowWrite> writes, boolean atomic) {
        boolean allConditionsHold = writes.stream().allMatch(this::conditionHolds);
        long nextRevision = revision + 1;
        boolean changed = false;
        List<WriteResult> results = new ArrayList<>();
        for (RowWrite write : writes) {
            if (atomic ? allConditionsHold : conditionHolds(write)) {
                changed |= apply(write, nextRevision);
                results.add(
                        new WriteResult(WriteOutcome.APPLIED, revisionAfter(write, nextRevision), Optional.empty()));
            } else {
                results.add(new WriteResult(
                        WriteOutcome.NOT_APPLIED, 0, conditionHolds(write) ? Optional.empty() : read(write.key())));
            }
        }
        revision = changed ? nextRevision : revision;
        return results;
    }

    /**
     * Reads a row.
     *
     * @param key key
     * @return row, or empty if it does not exist
     */
    public Optional<Row> read(String key) {
        StoredRow stored = rows.get(key);
        return stored == null || stored.deleted() ? Optional.empty() : Optional.of(toRow(key, stored));
    }

    /**
     * Reads the rows that changed after a revision.
     *
     * @param prefixes key prefixes of the rows to read
     * @param since revision; 0 reads all existing rows
     * @return changed rows and the current revision
     */
    public RowChanges changes(List<String> prefixes, long since) {
        List<Row> changed = new ArrayList<>();
        rows.forEach((key, stored) -> {
            boolean matchesPrefix = prefixes.stream().anyMatch(key::startsWith);
            if (matchesPrefix && stored.revision() > since && !(since == 0 && stored.deleted())) {
                changed.add(toRow(key, stored));
            }
        });
        changed.sort((a, b) -> Long.compare(a.revision(), b.revision()));
        return new RowChanges(changed, revision);
    }

    /**
     * Writes an object.
     *
     * @param name name
     * @param content content
     */
    public void putObject(String name, byte[] content) {
        objects.put(name, content.clone());
    }

    /**
     * Reads an object.
     *
     * @param name name
     * @return content, or empty if it does not exist
     */
    public Optional<byte[]> object(String name) {
        return Optional.ofNullable(objects.get(name)).map(byte[]::clone);
    }

    private boolean conditionHolds(RowWrite write) {
        StoredRow stored = rows.get(write.key());
        boolean absent = stored == null || stored.deleted();
        RowCondition condition = write.condition();
        if (condition instanceof RowCondition.Absent) {
            return absent;
        } else if (condition instanceof RowCondition.AbsentOrExpired) {
            return absent || expired(stored);
        } else if (condition instanceof RowCondition.RevisionIs expected) {
            return !absent && stored.revision() == expected.revision();
        } else if (condition instanceof RowCondition.AbsentOrFieldIs expected) {
            return absent || expected.value().equals(stored.value().fields().get(expected.field()));
        }
        return true;
    }

    private boolean apply(RowWrite write, long nextRevision) {
        if (write instanceof RowWrite.Put put) {
            rows.put(put.key(), new StoredRow(put.value(), nextRevision, false, expiryNanos(put.timeToLive())));
            return true;
        } else if (write instanceof RowWrite.Touch touch) {
            StoredRow stored = rows.get(touch.key());
            if (stored != null && !stored.deleted()) {
                long expires = expiryNanos(Optional.of(touch.timeToLive()));
                rows.put(touch.key(), new StoredRow(stored.value(), stored.revision(), false, expires));
            }
            return false;
        } else if (write instanceof RowWrite.Delete delete) {
            StoredRow stored = rows.get(delete.key());
            if (stored == null || stored.deleted()) {
                return false;
            }
            rows.put(delete.key(), new StoredRow(RowValue.empty(), nextRevision, true, Long.MAX_VALUE));
            return true;
        }
        return false;
    }

    private static long revisionAfter(RowWrite write, long nextRevision) {
        return write instanceof RowWrite.Put || write instanceof RowWrite.Delete ? nextRevision : 0;
    }

    private long expiryNanos(Optional<Duration> timeToLive) {
        return timeToLive.map(time -> clock.nowNanos() + time.toNanos()).orElse(Long.MAX_VALUE);
    }

    private boolean expired(StoredRow stored) {
        return clock.nowNanos() >= stored.expiresNanos();
    }

    private Row toRow(String key, StoredRow stored) {
        return new Row(key, stored.value(), stored.revision(), stored.deleted(), !stored.deleted() && expired(stored));
    }
}
