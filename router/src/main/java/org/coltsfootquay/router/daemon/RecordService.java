package org.coltsfootquay.router.daemon;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.idempotency.RecordBatcher;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.WriteResult;
import org.coltsfootquay.router.entry.RecordPort;

/** Writes and reads the records of non-idempotent requests; the writes of this router are batched by key shard. */
final class RecordService implements RecordPort {

    private final ControlThread control;
    private final TableStore store;
    private final RouterId self;
    private final RecordBatcher batcher = new RecordBatcher();
    private final Map<Long, Consumer<WriteResult>> waiting = new HashMap<>();
    private long nextCorrelation;

    RecordService(ControlThread control, TableStore store, RouterId self) {
        this.control = control;
        this.store = store;
        this.self = self;
    }

    /** Starts the batches; called on the control thread. */
    void start() {
        control.timer().every("record batches", RecordBatcher.PERIOD.dividedBy(5), () -> {
            if (batcher.isBusy()) {
                perform(batcher.timePassed(now()));
            }
        });
    }

    @Override
    public void write(RowWrite write, Consumer<WriteResult> callback) {
        control.execute(() -> {
            long correlation = ++nextCorrelation;
            waiting.put(correlation, callback);
            perform(batcher.submit(self, correlation, write, now()));
        });
    }

    @Override
    public void read(String key, Consumer<Either<StoreException, Optional<Row>>> callback) {
        control.execute(() -> store.read(key, callback));
    }

    private void perform(List<RecordBatcher.Action> actions) {
        for (RecordBatcher.Action action : actions) {
            if (action instanceof RecordBatcher.Action.WriteBatch batch) {
                store.writeIndependently(
                        batch.writes(), results -> perform(batcher.completed(batch.batch(), results, now())));
            } else if (action instanceof RecordBatcher.Action.Reply reply) {
                Consumer<WriteResult> callback = waiting.remove(reply.correlation());
                if (callback != null) {
                    callback.accept(reply.result());
                }
            }
        }
    }

    private long now() {
        return control.timer().nowNanos();
    }
}
