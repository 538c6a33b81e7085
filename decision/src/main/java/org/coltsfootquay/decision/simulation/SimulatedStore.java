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
 * Table service and object store in memory with the semantics of {@code docs/platform-protocol.md}.
 *
 * <p>Calls take effect at once; {@link SimulatedStoreClient} adds delays and faults.
 */
public final class SimulatedStore {

    private final TimerService clock;
    private final TreeMap<String, Stored> rows = new TreeMap<>();
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

    /** Content of a row at the store; a deleted row keeps its last revision. */
    private record Stored(RowValue value, long revision, boolean deleted, long expiresNanos) {}

    /**
     * Applies a batch.
     *
     * @param writes changes
     * @param atomic whether all or none apply
     * @return results in order
     */
    public List<WriteResult> write(List<RowWrite> writes, boolean atomic) {
        boolean all = writes.stream().allMatch(this::holds);
        long next = revision + 1;
        boolean changed = false;
        List<WriteResult> results = new ArrayList<>();
        for (RowWrite write : writes) {
            if (atomic ? all : holds(write)) {
                changed |= apply(write, next);
                results.add(new WriteResult(WriteOutcome.APPLIED, revisionAfter(write, next), Optional.empty()));
            } else {
                results.add(new WriteResult(
                        WriteOutcome.NOT_APPLIED, 0, holds(write) ? Optional.empty() : read(write.key())));
            }
        }
        revision = changed ? next : revision;
        return results;
    }

    /**
     * Reads a row.
     *
     * @param key key
     * @return row, or empty when it does not exist
     */
    public Optional<Row> read(String key) {
        Stored stored = rows.get(key);
        return stored == null || stored.deleted() ? Optional.empty() : Optional.of(toRow(key, stored));
    }

    /**
     * Reads changes.
     *
     * @param prefixes prefixes of keys
     * @param since revision; 0 reads all rows
     * @return changes
     */
    public RowChanges changes(List<String> prefixes, long since) {
        List<Row> changed = new ArrayList<>();
        rows.forEach((key, stored) -> {
            boolean wanted = prefixes.stream().anyMatch(key::startsWith);
            if (wanted && stored.revision() > since && !(since == 0 && stored.deleted())) {
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
     * @return content, or empty when it does not exist
     */
    public Optional<byte[]> object(String name) {
        return Optional.ofNullable(objects.get(name)).map(byte[]::clone);
    }

    private boolean holds(RowWrite write) {
        Stored stored = rows.get(write.key());
        boolean absent = stored == null || stored.deleted();
        RowCondition condition = write.condition();
        if (condition instanceof RowCondition.Absent) {
            return absent;
        } else if (condition instanceof RowCondition.AbsentOrExpired) {
            return absent || expired(stored);
        } else if (condition instanceof RowCondition.RevisionIs is) {
            return !absent && stored.revision() == is.revision();
        } else if (condition instanceof RowCondition.AbsentOrFieldIs is) {
            return absent || is.value().equals(stored.value().fields().get(is.field()));
        }
        return true;
    }

    private boolean apply(RowWrite write, long next) {
        if (write instanceof RowWrite.Put put) {
            rows.put(put.key(), new Stored(put.value(), next, false, expiry(put.timeToLive())));
            return true;
        } else if (write instanceof RowWrite.Touch touch) {
            Stored stored = rows.get(touch.key());
            if (stored != null && !stored.deleted()) {
                long expires = expiry(Optional.of(touch.timeToLive()));
                rows.put(touch.key(), new Stored(stored.value(), stored.revision(), false, expires));
            }
            return false;
        } else if (write instanceof RowWrite.Delete delete) {
            Stored stored = rows.get(delete.key());
            if (stored == null || stored.deleted()) {
                return false;
            }
            rows.put(delete.key(), new Stored(RowValue.empty(), next, true, Long.MAX_VALUE));
            return true;
        }
        return false;
    }

    private static long revisionAfter(RowWrite write, long next) {
        return write instanceof RowWrite.Put || write instanceof RowWrite.Delete ? next : 0;
    }

    private long expiry(Optional<Duration> timeToLive) {
        return timeToLive.map(time -> clock.nowNanos() + time.toNanos()).orElse(Long.MAX_VALUE);
    }

    private boolean expired(Stored stored) {
        return clock.nowNanos() >= stored.expiresNanos();
    }

    private Row toRow(String key, Stored stored) {
        return new Row(key, stored.value(), stored.revision(), stored.deleted(), !stored.deleted() && expired(stored));
    }
}
