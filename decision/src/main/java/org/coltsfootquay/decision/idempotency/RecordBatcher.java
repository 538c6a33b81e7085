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
 * Groups writes of idempotency records into non-atomic batches, at most one per key shard every 50 ms.
 *
 * <table>
 * <caption>Calls to the table service at the target rate of 310 non-idempotent requests/s</caption>
 * <tr><th>quantity</th><th>value</th></tr>
 * <tr><td>rows written: 310 × 2 (started, finished)</td><td>620 rows/s</td></tr>
 * <tr><td>calls without batching</td><td>620 calls/s</td></tr>
 * <tr><td>calls with batching: 8 shards × 20 batches/s, at any request rate</td><td>at most 160 calls/s</td></tr>
 * <tr><td>rows per batch: 620 ÷ 160</td><td>3.9, limit 100</td></tr>
 * <tr><td>write throughput at the limit of 100 rows per batch</td><td>16,000 rows/s</td></tr>
 * <tr><td>added latency: mean and maximum wait for the next batch</td><td>25 ms, 50 ms</td></tr>
 * <tr><td>write throughput at a store latency of 1 s: 8 shards × 4 batches in flight ÷ 1 s × 100 rows</td>
 *     <td>3,200 rows/s</td></tr>
 * </table>
 *
 * <p>No lease is needed to batch the writes of a shard: each row write has its own condition, so two routers may batch
 * for the same shard at the same time. Not thread-safe; must be called from a single thread.
 */
public final class RecordBatcher {

    /** Minimum time between two batches of one shard. */
    public static final Duration BATCH_INTERVAL = Duration.ofMillis(50);

    /** Maximum batch size; the table service accepts at most 100 operations per call. */
    public static final int MAX_BATCH_SIZE = 100;

    /** Maximum number of batches in flight per shard. */
    static final int MAX_IN_FLIGHT = 4;

    /** Maximum number of queued writes per shard: 12 s at the target rate of 620 rows/s ÷ 8 shards = 78 rows/s. */
    static final int MAX_QUEUED = 1_000;

    /** Time after which a batch without a result is reported as unknown. */
    static final long RESULT_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

    private final Shard[] shards = new Shard[RecordShards.COUNT];
    private final Map<Long, Batch> inFlightBatches = new HashMap<>();
    private long nextBatchNumber = 1;

    /** Creates an empty batcher. */
    public RecordBatcher() {
        for (int i = 0; i < shards.length; i++) {
            shards[i] = new Shard();
        }
    }

    /**
     * Queues a write. If the shard has sent no batch during the last interval, the write is sent immediately.
     *
     * @param origin router that waits for the result
     * @param correlation correlation number that the origin assigned to the write
     * @param write conditional write of one record
     * @param nowNanos current time
     * @return actions to perform
     */
    public List<Action> submit(RouterId origin, long correlation, RowWrite write, long nowNanos) {
        Shard shard = shards[RecordShards.shardOf(write.key())];
        if (shard.queued.size() >= MAX_QUEUED) {
            // The write was never sent to the store, so NOT_APPLIED is correct.
            WriteResult full = new WriteResult(WriteOutcome.NOT_APPLIED, 0, Optional.empty());
            return List.of(new Action.Reply(origin, correlation, full));
        }
        shard.queued.add(new PendingWrite(origin, correlation, write));
        return flush(shard, nowNanos);
    }

    /**
     * Sends the batches that are due and times out batches without a result.
     *
     * <p>Must be called every few milliseconds while writes are pending.
     *
     * @param nowNanos current time
     * @return actions to perform
     */
    public List<Action> handleTimer(long nowNanos) {
        List<Action> actions = new ArrayList<>();
        List<Long> timedOut = inFlightBatches.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().sentNanos >= RESULT_TIMEOUT_NANOS)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        timedOut.forEach(batch -> actions.addAll(handleBatchResult(batch, List.of(), nowNanos)));
        for (Shard shard : shards) {
            actions.addAll(flush(shard, nowNanos));
        }
        return actions;
    }

    /**
     * Handles the results of a batch.
     *
     * @param batch number of the batch; ignored if the batch is not in flight
     * @param results one result per write, or empty if the outcome of the call is unknown
     * @param nowNanos current time
     * @return actions to perform
     */
    public List<Action> handleBatchResult(long batch, List<WriteResult> results, long nowNanos) {
        Batch finished = inFlightBatches.remove(batch);
        if (finished == null) {
            return List.of();
        }
        finished.shard.inFlight--;
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < finished.writes.size(); i++) {
            PendingWrite pending = finished.writes.get(i);
            finished.shard.keysInFlight.remove(pending.write.key());
            WriteResult result = i < results.size() ? results.get(i) : WriteResult.unknown();
            actions.add(new Action.Reply(pending.origin, pending.correlation, result));
        }
        actions.addAll(flush(finished.shard, nowNanos));
        return actions;
    }

    /**
     * Returns whether writes are queued or in flight.
     *
     * @return true if the result of at least one write is outstanding
     */
    public boolean hasPendingWrites() {
        if (!inFlightBatches.isEmpty()) {
            return true;
        }
        for (Shard shard : shards) {
            if (!shard.queued.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    private List<Action> flush(Shard shard, long nowNanos) {
        if (shard.queued.isEmpty() || shard.inFlight >= MAX_IN_FLIGHT || nowNanos < shard.nextBatchNanos) {
            return List.of();
        }
        List<PendingWrite> batch = new ArrayList<>();
        Set<String> skippedKeys = new HashSet<>();
        Iterator<PendingWrite> queued = shard.queued.iterator();
        while (queued.hasNext() && batch.size() < MAX_BATCH_SIZE) {
            PendingWrite pending = queued.next();
            String key = pending.write.key();
            // Writes to the same row are sent one at a time, in the order of submission.
            if (!skippedKeys.contains(key) && shard.keysInFlight.add(key)) {
                batch.add(pending);
                queued.remove();
            } else {
                skippedKeys.add(key);
            }
        }
        if (batch.isEmpty()) {
            return List.of();
        }
        shard.nextBatchNanos = nowNanos + BATCH_INTERVAL.toNanos();
        shard.inFlight++;
        long number = nextBatchNumber++;
        inFlightBatches.put(number, new Batch(shard, batch, nowNanos));
        return List.of(new Action.WriteBatch(
                number, batch.stream().map(pending -> pending.write).toList()));
    }

    /** Action that the caller of the batcher performs. */
    public sealed interface Action {

        /**
         * Sends a batch to the store as independent writes.
         *
         * @param batch number of the batch
         * @param writes writes to distinct rows
         */
        record WriteBatch(long batch, List<RowWrite> writes) implements Action {}

        /**
         * Returns the result of a write to its origin.
         *
         * @param origin router that waits for the result
         * @param correlation correlation number that the origin assigned to the write
         * @param result result of the write
         */
        record Reply(RouterId origin, long correlation, WriteResult result) implements Action {}
    }

    private record PendingWrite(RouterId origin, long correlation, RowWrite write) {}

    private record Batch(Shard shard, List<PendingWrite> writes, long sentNanos) {}

    private static final class Shard {

        private final ArrayDeque<PendingWrite> queued = new ArrayDeque<>();
        private final Set<String> keysInFlight = new HashSet<>();
        private long nextBatchNanos = Long.MIN_VALUE;
        private int inFlight;
    }
}
