package org.coltsfootquay.router.daemon;

import io.vavr.control.Either;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.idempotency.RecordBatcher;
import org.coltsfootquay.decision.idempotency.RecordShards;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.WriteResult;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.protocol.generated.RecordBatch;
import org.coltsfootquay.protocol.generated.RecordBatchReply;
import org.coltsfootquay.protocol.generated.RecordOperation;
import org.coltsfootquay.protocol.generated.RecordResult;
import org.coltsfootquay.router.entry.OwnerPort;
import org.coltsfootquay.router.entry.RecordPort;

/**
 * Writes and reads the records of non-idempotent requests.
 *
 * <p>Each write goes to the router that batches its key shard, which may be this one. All state belongs to the control
 * thread.
 */
final class RecordService implements RecordPort {

    /** Longer than the second after which a flow repeats a write by itself; only bounds the memory. */
    private static final long FORGET_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * Time for which a lost router batches no records. Membership lists a dead router until its lease of 9 s has
     * expired; until then half of the bookings of a fleet of two were refused.
     */
    private static final long AVOID_NANOS = Duration.ofSeconds(10).toNanos();

    private final ControlThread control;
    private final TableStore store;
    private final RouterId self;
    private final OwnerPort peers;
    private final Supplier<Collection<RouterId>> routers;
    private final RecordBatcher batcher = new RecordBatcher();
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final Map<RouterId, Long> lostNanos = new HashMap<>();
    private boolean scheduled;

    /** Starts at random: a result for a write of this router before its restart must not be taken for a newer one. */
    private long nextCorrelation = new SecureRandom().nextLong() >>> 1;

    private record Waiting(RouterId batching, Consumer<WriteResult> callback, long sinceNanos) {}

    RecordService(
            ControlThread control,
            TableStore store,
            RouterId self,
            OwnerPort peers,
            Supplier<Collection<RouterId>> routers) {
        this.control = control;
        this.store = store;
        this.self = self;
        this.peers = peers;
        this.routers = routers;
    }

    /** Starts to forget writes without an answer; called on the control thread. */
    void start() {
        control.timer()
                .schedulePeriodic(
                        "forgotten records",
                        Duration.ofSeconds(5),
                        () -> waiting.values().removeIf(entry -> now() - entry.sinceNanos() > FORGET_NANOS));
    }

    @Override
    public void write(RowWrite write, Consumer<WriteResult> callback) {
        control.execute(() -> {
            long correlation = ++nextCorrelation;
            RouterId batching = RecordShards.batchingRouter(RecordShards.shardOf(write.key()), reachableRouters())
                    .orElse(self);
            Optional<RecordOperation> operation =
                    batching.equals(self) ? Optional.empty() : RecordFrames.operation(correlation, write);
            boolean sent = operation.isPresent()
                    && peers.send(
                            batching,
                            Frame.newBuilder()
                                    .setRecordBatch(RecordBatch.newBuilder().addOperations(operation.get()))
                                    .build());
            waiting.put(correlation, new Waiting(sent ? batching : self, callback, now()));
            if (!sent) {
                perform(batcher.submit(self, correlation, write, now()));
            }
        });
    }

    @Override
    public void read(String key, Consumer<Either<StoreException, Optional<Row>>> callback) {
        control.execute(() -> store.read(key, callback));
    }

    /** Takes the writes of another router; called on the control thread. */
    void received(RouterId origin, RecordBatch batch) {
        for (RecordOperation operation : batch.getOperationsList()) {
            Optional<RowWrite> write = RecordFrames.write(operation);
            if (write.isPresent()) {
                perform(batcher.submit(origin, operation.getCorrelation(), write.get(), now()));
            } else {
                reply(origin, operation.getCorrelation(), WriteResult.unknown());
            }
        }
    }

    /** Takes results from a batching router; called on the control thread. */
    void received(RouterId batching, RecordBatchReply reply) {
        for (RecordResult result : reply.getResultsList()) {
            Waiting entry = waiting.get(result.getCorrelation());
            if (entry != null && entry.batching().equals(batching)) {
                complete(result.getCorrelation(), RecordFrames.result(result));
            }
        }
    }

    /** Any router may batch for a shard, because each write is conditional. */
    private List<RouterId> reachableRouters() {
        long now = now();
        lostNanos.values().removeIf(since -> now - since > AVOID_NANOS);
        return routers.get().stream()
                .filter(router -> !lostNanos.containsKey(router))
                .toList();
    }

    /** The outcome of writes at a lost batching router is unknown; called on the control thread. */
    void lost(RouterId batching) {
        lostNanos.put(batching, now());
        List<Long> lost = waiting.entrySet().stream()
                .filter(entry -> entry.getValue().batching().equals(batching))
                .map(Map.Entry::getKey)
                .toList();
        lost.forEach(correlation -> complete(correlation, WriteResult.unknown()));
    }

    /** Lets the batcher send what is due later, for as long as it has something to do. */
    private void continueLater() {
        if (!scheduled && batcher.hasPendingWrites()) {
            scheduled = true;
            control.timer().scheduleOnce("record batches", RecordBatcher.BATCH_INTERVAL.dividedBy(5), () -> {
                scheduled = false;
                perform(batcher.handleTimer(now()));
            });
        }
    }

    private void perform(List<RecordBatcher.Action> actions) {
        for (RecordBatcher.Action action : actions) {
            if (action instanceof RecordBatcher.Action.WriteBatch batch) {
                store.writeIndependently(
                        batch.writes(), results -> perform(batcher.handleBatchResult(batch.batch(), results, now())));
            } else if (action instanceof RecordBatcher.Action.Reply reply) {
                reply(reply.origin(), reply.correlation(), reply.result());
            }
        }
        continueLater();
    }

    private void reply(RouterId origin, long correlation, WriteResult result) {
        if (origin.equals(self)) {
            complete(correlation, result);
        } else {
            peers.send(
                    origin,
                    Frame.newBuilder()
                            .setRecordBatchReply(
                                    RecordBatchReply.newBuilder().addResults(RecordFrames.result(correlation, result)))
                            .build());
        }
    }

    private void complete(long correlation, WriteResult result) {
        Waiting entry = waiting.remove(correlation);
        if (entry != null) {
            entry.callback().accept(result);
        }
    }

    private long now() {
        return control.timer().nowNanos();
    }
}
