package org.coltsfootquay.decision.idempotency;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;

/**
 * Collects writes of records and passes them to the store in independent batches, for each key shard one every 50 ms.
 *
 * <table>
 * <caption>Calls to the table service at 310 non-idempotent requests a second, the target</caption>
 * <tr><th>quantity</th><th>figure</th></tr>
 * <tr><td>rows written: 310 × 2 (started, finished)</td><td>620 rows/s</td></tr>
 * <tr><td>calls without batches</td><td>620 calls/s</td></tr>
 * <tr><td>calls with batches: 8 shards × 20 batches/s, at any request rate</td><td>at most 160 calls/s</td></tr>
 * <tr><td>rows a batch: 620 ÷ 160</td><td>3.9, bound 100</td></tr>
 * <tr><td>rows a second at the bound of 100 rows a batch</td><td>16,000 rows/s</td></tr>
 * <tr><td>added delay: mean and longest wait for the next batch</td><td>25 ms, 50 ms</td></tr>
 * <tr><td>with a store that answers in 1 s: 8 shards × 4 batches under way ÷ 1 s × 100 rows</td>
 *     <td>3,200 rows/s</td></tr>
 * </table>
 *
 * <p>The batches need no lease: each row write is conditional on its own, so two routers may batch for one shard. Not
 * thread-safe: one thread drives it.
 */
public final class RecordBatcher {

    /** Time between two batches of one shard. */
    public static final Duration BATCH_INTERVAL = Duration.ofMillis(50);

    /** Largest batch; the table service takes at most 100 operations a call. */
    public static final int MAX_BATCH_SIZE = 100;

    /** Batches of one shard whose results are awaited. */
    static final int MAX_UNDER_WAY = 4;

    /** Writes of one shard that wait; 620 rows/s ÷ 8 shards is 78 a second, so this is 12 s of the target rate. */
    static final int MAX_WAITING = 1_000;

    /** Time after which a batch without result counts as unknown. */
    static final long RESULT_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

    private final Shard[] shards = new Shard[RecordShards.COUNT];
    private final Map<Long, Batch> underWay = new HashMap<>();
    private long nextBatch = 1;

    /** Creates an empty batcher. */
    public RecordBatcher() {
        for (int i = 0; i < shards.length; i++) {
            shards[i] = new Shard();
        }
    }

    /**
     * Takes a write. A shard that was idle for a period passes it on at once.
     *
     * @param origin router that waits for the result
     * @param correlation number that the origin gave the write
     * @param write conditional write of one record
     * @param nowNanos current time
     * @return actions
     */
    public List<Action> submit(RouterId origin, long correlation, RowWrite write, long nowNanos) {
        Shard shard = shards[RecordShards.shardOf(write.key())];
        if (shard.waiting.size() >= MAX_WAITING) {
            // The store did nothing, which is what this outcome states.
            WriteResult full = new WriteResult(WriteOutcome.NOT_APPLIED, 0, Optional.empty());
            return List.of(new Action.Reply(origin, correlation, full));
        }
        shard.waiting.add(new Pending(origin, correlation, write));
        return flush(shard, nowNanos);
    }

    /**
     * Sends the batches that are due; called every few milliseconds while writes wait.
     *
     * @param nowNanos current time
     * @return actions
     */
    public List<Action> handleTimer(long nowNanos) {
        List<Action> actions = new ArrayList<>();
        List<Long> late = underWay.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().sentNanos >= RESULT_TIMEOUT_NANOS)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        late.forEach(batch -> actions.addAll(handleBatchResult(batch, List.of(), nowNanos)));
        for (Shard shard : shards) {
            actions.addAll(flush(shard, nowNanos));
        }
        return actions;
    }

    /**
     * Handles the results of a batch.
     *
     * @param batch number of the batch; an unknown one is ignored
     * @param results one result for each write, or empty when the outcome of the call is unknown
     * @param nowNanos current time
     * @return actions
     */
    public List<Action> handleBatchResult(long batch, List<WriteResult> results, long nowNanos) {
        Batch finished = underWay.remove(batch);
        if (finished == null) {
            return List.of();
        }
        finished.shard.underWay--;
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < finished.writes.size(); i++) {
            Pending pending = finished.writes.get(i);
            finished.shard.busyKeys.remove(pending.write.key());
            WriteResult result = i < results.size() ? results.get(i) : WriteResult.unknown();
            actions.add(new Action.Reply(pending.origin, pending.correlation, result));
        }
        actions.addAll(flush(finished.shard, nowNanos));
        return actions;
    }

    /**
     * Tells whether a batch is waiting or under way.
     *
     * @return true if results are owed
     */
    public boolean hasPendingWrites() {
        if (!underWay.isEmpty()) {
            return true;
        }
        for (Shard shard : shards) {
            if (!shard.waiting.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    private List<Action> flush(Shard shard, long nowNanos) {
        if (shard.waiting.isEmpty() || shard.underWay >= MAX_UNDER_WAY || nowNanos < shard.nextNanos) {
            return List.of();
        }
        List<Pending> batch = new ArrayList<>();
        Set<String> skipped = new HashSet<>();
        Iterator<Pending> waiting = shard.waiting.iterator();
        while (waiting.hasNext() && batch.size() < MAX_BATCH_SIZE) {
            Pending pending = waiting.next();
            String key = pending.write.key();
            // Two writes of one row go one after the other, in the order in which they came.
            if (!skipped.contains(key) && shard.busyKeys.add(key)) {
                batch.add(pending);
                waiting.remove();
            } else {
                skipped.add(key);
            }
        }
        if (batch.isEmpty()) {
            return List.of();
        }
        shard.nextNanos = nowNanos + BATCH_INTERVAL.toNanos();
        shard.underWay++;
        long number = nextBatch++;
        underWay.put(number, new Batch(shard, batch, nowNanos));
        return List.of(new Action.WriteBatch(
                number, batch.stream().map(pending -> pending.write).toList()));
    }

    /** Output of a batcher. */
    public sealed interface Action {

        /**
         * Pass a batch to the store, each write on its own.
         *
         * @param batch number of the batch
         * @param writes writes of different rows
         */
        record WriteBatch(long batch, List<RowWrite> writes) implements Action {}

        /**
         * Return the result of a write.
         *
         * @param origin router that waits for it
         * @param correlation number that the origin gave the write
         * @param result result
         */
        record Reply(RouterId origin, long correlation, WriteResult result) implements Action {}
    }

    private record Pending(RouterId origin, long correlation, RowWrite write) {}

    private record Batch(Shard shard, List<Pending> writes, long sentNanos) {}

    private static final class Shard {

        private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
        private final Set<String> busyKeys = new HashSet<>();
        private long nextNanos = Long.MIN_VALUE;
        private int underWay;
    }
}
