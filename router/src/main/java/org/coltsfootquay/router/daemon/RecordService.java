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
 * Writes and reads the idempotency records of requests that are not idempotent.
 *
 * <p>Each write goes to the router that batches the writes of its key shard, which may be this one. All state is
 * confined to the control thread.
 */
final class RecordService implements RecordPort {

    /** Bounds the memory for unanswered writes; longer than the 1 s after which a request flow retries a write. */
    private static final long PENDING_WRITE_RETENTION_NANOS =
            Duration.ofSeconds(10).toNanos();

    /**
     * Time for which a router whose connection was lost is not used for batching. The membership lists a crashed router
     * until its lease of 9 s expires; without the exclusion, a fleet of two refused half of the bookings until then.
     */
    private static final long LOST_ROUTER_EXCLUSION_NANOS =
            Duration.ofSeconds(10).toNanos();

    private final ControlThread controlThread;
    private final TableStore store;
    private final RouterId self;
    private final OwnerPort peers;
    private final Supplier<Collection<RouterId>> routers;
    private final RecordBatcher batcher = new RecordBatcher();
    private final Map<Long, PendingWrite> pendingWrites = new HashMap<>();
    private final Map<RouterId, Long> lostAtNanos = new HashMap<>();
    private boolean timerScheduled;

    /** Starts at a random value, so that a result of a write from before a restart does not match a newer write. */
    private long nextCorrelation = new SecureRandom().nextLong() >>> 1;

    private record PendingWrite(RouterId batchingRouter, Consumer<WriteResult> callback, long submittedNanos) {}

    RecordService(
            ControlThread controlThread,
            TableStore store,
            RouterId self,
            OwnerPort peers,
            Supplier<Collection<RouterId>> routers) {
        this.controlThread = controlThread;
        this.store = store;
        this.self = self;
        this.peers = peers;
        this.routers = routers;
    }

    /** Starts the removal of unanswered writes; called on the control thread. */
    void start() {
        controlThread
                .timer()
                .schedulePeriodic(
                        "expired pending writes",
                        Duration.ofSeconds(5),
                        () -> pendingWrites
                                .values()
                                .removeIf(entry -> now() - entry.submittedNanos() > PENDING_WRITE_RETENTION_NANOS));
    }

    @Override
    public void write(RowWrite write, Consumer<WriteResult> callback) {
        controlThread.execute(() -> {
            long correlation = ++nextCorrelation;
            RouterId batchingRouter = RecordShards.batchingRouter(RecordShards.shardOf(write.key()), reachableRouters())
                    .orElse(self);
            Optional<RecordOperation> operation = batchingRouter.equals(self)
                    ? Optional.empty()
                    : RecordMessageConverter.toOperation(correlation, write);
            boolean sent = operation.isPresent()
                    && peers.send(
                            batchingRouter,
                            Frame.newBuilder()
                                    .setRecordBatch(RecordBatch.newBuilder().addOperations(operation.get()))
                                    .build());
            pendingWrites.put(correlation, new PendingWrite(sent ? batchingRouter : self, callback, now()));
            if (!sent) {
                executeActions(batcher.submit(self, correlation, write, now()));
            }
        });
    }

    @Override
    public void read(String key, Consumer<Either<StoreException, Optional<Row>>> callback) {
        controlThread.execute(() -> store.read(key, callback));
    }

    /** Processes the writes of another router; called on the control thread. */
    void receive(RouterId origin, RecordBatch batch) {
        for (RecordOperation operation : batch.getOperationsList()) {
            Optional<RowWrite> write = RecordMessageConverter.toWrite(operation);
            if (write.isPresent()) {
                executeActions(batcher.submit(origin, operation.getCorrelation(), write.get(), now()));
            } else {
                reply(origin, operation.getCorrelation(), WriteResult.unknown());
            }
        }
    }

    /** Processes results from a batching router; called on the control thread. */
    void receive(RouterId batchingRouter, RecordBatchReply reply) {
        for (RecordResult result : reply.getResultsList()) {
            PendingWrite pending = pendingWrites.get(result.getCorrelation());
            if (pending != null && pending.batchingRouter().equals(batchingRouter)) {
                complete(result.getCorrelation(), RecordMessageConverter.convertResult(result));
            }
        }
    }

    /** Returns the routers to choose from; any router may batch a shard, because each write is conditional. */
    private List<RouterId> reachableRouters() {
        long now = now();
        lostAtNanos.values().removeIf(lostAt -> now - lostAt > LOST_ROUTER_EXCLUSION_NANOS);
        return routers.get().stream()
                .filter(router -> !lostAtNanos.containsKey(router))
                .toList();
    }

    /** Completes the writes at a lost batching router as unknown; called on the control thread. */
    void peerLost(RouterId batchingRouter) {
        lostAtNanos.put(batchingRouter, now());
        List<Long> lost = pendingWrites.entrySet().stream()
                .filter(entry -> entry.getValue().batchingRouter().equals(batchingRouter))
                .map(Map.Entry::getKey)
                .toList();
        lost.forEach(correlation -> complete(correlation, WriteResult.unknown()));
    }

    /** Schedules the next run of the batcher while it has pending writes. */
    private void scheduleTimer() {
        if (!timerScheduled && batcher.hasPendingWrites()) {
            timerScheduled = true;
            controlThread.timer().scheduleOnce("record batches", RecordBatcher.BATCH_INTERVAL.dividedBy(5), () -> {
                timerScheduled = false;
                executeActions(batcher.handleTimer(now()));
            });
        }
    }

    private void executeActions(List<RecordBatcher.Action> actions) {
        for (RecordBatcher.Action action : actions) {
            if (action instanceof RecordBatcher.Action.WriteBatch batch) {
                store.writeIndependently(
                        batch.writes(),
                        results -> executeActions(batcher.handleBatchResult(batch.batch(), results, now())));
            } else if (action instanceof RecordBatcher.Action.Reply reply) {
                reply(reply.origin(), reply.correlation(), reply.result());
            }
        }
        scheduleTimer();
    }

    private void reply(RouterId origin, long correlation, WriteResult result) {
        if (origin.equals(self)) {
            complete(correlation, result);
        } else {
            peers.send(
                    origin,
                    Frame.newBuilder()
                            .setRecordBatchReply(RecordBatchReply.newBuilder()
                                    .addResults(RecordMessageConverter.convertResult(correlation, result)))
                            .build());
        }
    }

    private void complete(long correlation, WriteResult result) {
        PendingWrite pending = pendingWrites.remove(correlation);
        if (pending != null) {
            pending.callback().accept(result);
        }
    }

    private long now() {
        return controlThread.timer().nowNanos();
    }
}
