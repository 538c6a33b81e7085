package org.coltsfootquay.decision.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowValue;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;
import org.junit.jupiter.api.Test;

/** Guards the write rate of the table service and the results that origins wait for. */
final class RecordBatcherTest {

    private static final RouterId ORIGIN = new RouterId("entry");
    private static final long MILLI = 1_000_000L;
    private static final WriteResult APPLIED = new WriteResult(WriteOutcome.APPLIED, 1, Optional.empty());

    private final RecordBatcher batcher = new RecordBatcher();
    private final List<RecordBatcher.Action> actions = new ArrayList<>();

    @Test
    void targetRateNeedsAtMostOneHundredAndSixtyCallsASecond() {
        long seconds = 10;
        long calls = 0;
        int answered = 0;
        long next = 0;
        for (long now = 0; now < (seconds + 1) * 1_000 * MILLI; now += MILLI) {
            if (now < seconds * 1_000 * MILLI) {
                // 620 rows a second: two for each of 310 requests.
                while (next * 1_000_000_000L / 620 <= now) {
                    actions.addAll(batcher.submit(ORIGIN, next, put("row-" + next), now));
                    next++;
                }
            }
            actions.addAll(batcher.handleTimer(now));
            for (RecordBatcher.Action action : drain()) {
                if (action instanceof RecordBatcher.Action.WriteBatch batch) {
                    calls++;
                    actions.addAll(batcher.handleBatchResult(batch.batch(), applied(batch), now));
                } else {
                    answered++;
                }
            }
        }
        assertTrue(calls <= 160 * seconds + 8, "calls: " + calls);
        assertEquals(next, answered);
        assertFalse(batcher.hasPendingWrites());
    }

    @Test
    void writesOfOneRowGoOneAfterTheOther() {
        RecordBatcher.Action.WriteBatch first = batch(batcher.submit(ORIGIN, 1, put("row"), 0));
        assertEquals(List.of(), batcher.submit(ORIGIN, 2, put("row"), 0));
        assertEquals(List.of(), batcher.handleTimer(60 * MILLI));
        List<RecordBatcher.Action> after = batcher.handleBatchResult(first.batch(), applied(first), 70 * MILLI);
        assertEquals(new RecordBatcher.Action.Reply(ORIGIN, 1, APPLIED), after.get(0));
        assertEquals(1, batch(after.subList(1, 2)).writes().size());
    }

    @Test
    void batchWithoutResultIsReportedAsUnknown() {
        batcher.submit(ORIGIN, 1, put("row"), 0);
        List<RecordBatcher.Action> late = batcher.handleTimer(RecordBatcher.RESULT_TIMEOUT_NANOS);
        assertEquals(List.of(new RecordBatcher.Action.Reply(ORIGIN, 1, WriteResult.unknown())), late);
    }

    @Test
    void slowStoreDoesNotMakeTheQueueGrowWithoutBound() {
        Set<WriteOutcome> outcomes = new HashSet<>();
        for (int i = 0; i < 20_000; i++) {
            batcher.submit(ORIGIN, i, put("row-" + i), i * MILLI / 100).stream()
                    .filter(RecordBatcher.Action.Reply.class::isInstance)
                    .forEach(reply -> outcomes.add(
                            ((RecordBatcher.Action.Reply) reply).result().outcome()));
        }
        assertEquals(Set.of(WriteOutcome.NOT_APPLIED), outcomes);
    }

    @Test
    void shardsAndTheirRoutersAreSpreadAndStable() {
        int[] perShard = new int[RecordShards.COUNT];
        for (int i = 0; i < 8_000; i++) {
            perShard[RecordShards.shardOf(RecordOwner.rowKey("workspace", "key-" + i))]++;
        }
        for (int count : perShard) {
            assertTrue(count > 800 && count < 1_200, "keys in a shard: " + count);
        }
        List<RouterId> routers = new ArrayList<>();
        for (int i = 0; i < 390; i++) {
            routers.add(new RouterId("router-" + i));
        }
        for (int shard = 0; shard < RecordShards.COUNT; shard++) {
            RouterId chosen = RecordShards.batchingRouter(shard, routers).orElseThrow();
            List<RouterId> others = routers.stream()
                    .filter(router -> router.equals(chosen) || router.value().endsWith("7"))
                    .toList();
            assertEquals(chosen, RecordShards.batchingRouter(shard, others).orElseThrow());
        }
    }

    private List<RecordBatcher.Action> drain() {
        List<RecordBatcher.Action> drained = new ArrayList<>(actions);
        actions.clear();
        return drained;
    }

    private static RecordBatcher.Action.WriteBatch batch(List<RecordBatcher.Action> from) {
        return (RecordBatcher.Action.WriteBatch) from.get(0);
    }

    private static List<WriteResult> applied(RecordBatcher.Action.WriteBatch batch) {
        return batch.writes().stream().map(write -> APPLIED).toList();
    }

    private static RowWrite put(String key) {
        return new RowWrite.Put(key, RowValue.empty(), new RowCondition.Always(), Optional.empty());
    }
}
