package org.coltsfootquay.standin.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/** Rows of the table service with conditional writes, revisions and expiry. All methods are atomic. */
final class TableData {

    private final LongSupplier nanoClock;
    private final Map<String, StoredRow> rows = new HashMap<>();
    private final TreeMap<Long, Set<String>> keysByRevision = new TreeMap<>();
    private long revision;

    TableData(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** Outcome of one operation; {@code current} is the row when the condition did not hold, or null. */
    record Result(boolean applied, StoredRow current) {}

    /** Outcome of a batch. */
    record BatchResult(List<Result> results, long revision) {}

    long nowNanos() {
        return nanoClock.getAsLong();
    }

    synchronized long revision() {
        return revision;
    }

    synchronized StoredRow row(String key) {
        StoredRow row = rows.get(key);
        return row == null || row.deleted() ? null : row;
    }

    synchronized BatchResult write(boolean atomic, List<TableOperation> operations) {
        long now = nowNanos();
        if (!atomic) {
            List<Result> results = new ArrayList<>();
            long next = revision + 1;
            for (TableOperation operation : operations) {
                StoredRow row = row(operation.key());
                boolean applied = apply(operation, row, now, next);
                results.add(new Result(applied, applied ? null : row));
            }
            return new BatchResult(results, revision);
        }
        List<Result> results = new ArrayList<>();
        boolean all = true;
        for (TableOperation operation : operations) {
            StoredRow row = row(operation.key());
            boolean holds = holds(operation, row, now);
            all &= holds;
            results.add(new Result(holds, holds ? null : row));
        }
        if (!all) {
            return new BatchResult(
                    results.stream()
                            .map(result -> new Result(false, result.current()))
                            .collect(Collectors.toList()),
                    revision);
        }
        long next = revision + 1;
        for (TableOperation operation : operations) {
            apply(operation, row(operation.key()), now, next);
        }
        return new BatchResult(results, revision);
    }

    synchronized List<StoredRow> changes(List<String> prefixes, long since) {
        Set<String> keys = new HashSet<>();
        keysByRevision.tailMap(since, false).values().forEach(keys::addAll);
        return keys.stream()
                .filter(key -> prefixes.stream().anyMatch(key::startsWith))
                .map(rows::get)
                .filter(row -> since > 0 || !row.deleted())
                .sorted(Comparator.comparingLong(StoredRow::revision).thenComparing(StoredRow::key))
                .collect(Collectors.toList());
    }

    private boolean apply(TableOperation operation, StoredRow row, long now, long next) {
        if (!holds(operation, row, now)) {
            return false;
        }
        switch (operation.kind()) {
            case PUT ->
                replace(new StoredRow(operation.key(), operation.value(), next, false, expiry(operation, now)), next);
            case TOUCH ->
                rows.put(
                        operation.key(),
                        new StoredRow(row.key(), row.value(), row.revision(), false, expiry(operation, now)));
            case DELETE -> {
                if (row != null) {
                    replace(new StoredRow(operation.key(), Map.of(), next, true, Long.MAX_VALUE), next);
                }
            }
            default -> {
                // A check changes nothing.
            }
        }
        return true;
    }

    private static boolean holds(TableOperation operation, StoredRow row, long now) {
        if (operation.kind() == TableOperation.Kind.TOUCH && row == null) {
            return false;
        }
        return operation.condition().holds(row, now);
    }

    private void replace(StoredRow row, long next) {
        StoredRow old = rows.put(row.key(), row);
        if (old != null) {
            Set<String> keys = keysByRevision.get(old.revision());
            keys.remove(row.key());
            if (keys.isEmpty()) {
                keysByRevision.remove(old.revision());
            }
        }
        keysByRevision.computeIfAbsent(next, key -> new HashSet<>()).add(row.key());
        revision = next;
    }

    private static long expiry(TableOperation operation, long now) {
        return operation
                .timeToLiveMillis()
                .map(millis -> now + millis * 1_000_000)
                .orElse(Long.MAX_VALUE);
    }
}
