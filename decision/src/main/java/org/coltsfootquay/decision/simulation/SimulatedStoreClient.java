package org.coltsfootquay.decision.simulation;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.store.ObjectStore;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowChanges;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;
import org.coltsfootquay.decision.timer.TimerService;

/** Client of the simulated store for one router process; adds latency and faults to the calls. */
final class SimulatedStoreClient implements TableStore, ObjectStore {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private final SimulatedStore store;
    private final SimulatedFaults faults;
    private final TimerService clock;
    private final RandomGenerator random;
    private final RouterId router;
    private final Consumer<Runnable> delivery;

    SimulatedStoreClient(
            SimulatedStore store,
            SimulatedFaults faults,
            TimerService clock,
            RandomGenerator random,
            RouterId router,
            Consumer<Runnable> delivery) {
        this.store = store;
        this.faults = faults;
        this.clock = clock;
        this.random = random;
        this.router = router;
        this.delivery = delivery;
    }

    @Override
    public void writeAtomically(List<RowWrite> writes, Consumer<List<WriteResult>> callback) {
        write(writes, true, callback);
    }

    @Override
    public void writeIndependently(List<RowWrite> writes, Consumer<List<WriteResult>> callback) {
        write(writes, false, callback);
    }

    @Override
    public void read(String key, Consumer<Either<StoreException, Optional<Row>>> callback) {
        call(() -> Either.right(store.read(key)), callback, Either::left, true);
    }

    @Override
    public void changes(
            List<String> prefixes, long sinceRevision, Consumer<Either<StoreException, RowChanges>> callback) {
        call(() -> Either.right(store.changes(prefixes, sinceRevision)), callback, Either::left, true);
    }

    @Override
    public void put(String name, byte[] content, Consumer<WriteOutcome> callback) {
        call(
                () -> {
                    store.putObject(name, content);
                    return WriteOutcome.APPLIED;
                },
                callback,
                failure -> failure.kind() == StoreException.Kind.THROTTLED
                        ? WriteOutcome.NOT_APPLIED
                        : WriteOutcome.UNKNOWN,
                false);
    }

    @Override
    public void get(String name, Consumer<Either<StoreException, byte[]>> callback) {
        call(
                () -> store.object(name)
                        .map(Either::<StoreException, byte[]>right)
                        .orElseGet(() -> Either.left(
                                new StoreException(StoreException.Kind.NOT_FOUND, "object does not exist"))),
                callback,
                Either::left,
                true);
    }

    private void write(List<RowWrite> writes, boolean atomic, Consumer<List<WriteResult>> callback) {
        call(
                () -> store.write(writes, atomic),
                callback,
                failure -> Collections.nCopies(
                        writes.size(),
                        failure.kind() == StoreException.Kind.THROTTLED
                                ? new WriteResult(WriteOutcome.NOT_APPLIED, 0, Optional.empty())
                                : WriteResult.unknown()),
                false);
    }

    private <T> void call(
            Supplier<T> effect,
            Consumer<T> callback,
            FailureMapper<StoreException, T> failureMapper,
            boolean readOnly) {
        StoreException timeout = new StoreException(StoreException.Kind.UNREACHABLE, "store call timed out");
        long maxDelayMillis = faults.isStoreSlow() ? 1_500 : 20;
        boolean lateWrite = !readOnly && random.nextDouble() < faults.lateWriteFraction();
        long requestMillis = lateWrite ? 2_000 + random.nextLong(13_000) : 1 + random.nextLong(maxDelayMillis);
        long responseMillis = 1 + random.nextLong(maxDelayMillis);
        long sentNanos = clock.nowNanos();
        boolean sent = faults.isStoreReachable(router);
        if (!sent) {
            respondAt(sentNanos + CALL_TIMEOUT.toNanos(), () -> callback.accept(failureMapper.map(timeout)));
            return;
        }
        clock.scheduleOnce("request", Duration.ofMillis(requestMillis), () -> {
            boolean throttled = faults.isStoreDown();
            T result = throttled
                    ? failureMapper.map(new StoreException(StoreException.Kind.THROTTLED, "unavailable"))
                    : effect.get();
            boolean lost = !faults.isStoreReachable(router)
                    || random.nextDouble() < faults.lostResponseFraction()
                    || requestMillis + responseMillis > CALL_TIMEOUT.toMillis();
            if (lost) {
                respondAt(sentNanos + CALL_TIMEOUT.toNanos(), () -> callback.accept(failureMapper.map(timeout)));
            } else {
                respondAt(clock.nowNanos() + responseMillis * 1_000_000, () -> callback.accept(result));
            }
        });
    }

    private void respondAt(long nanos, Runnable response) {
        clock.scheduleOnce("answer", Duration.ofNanos(Math.max(0, nanos - clock.nowNanos())), () -> delivery.accept(response));
    }

    /** Converts a failure to the result of a call. */
    private interface FailureMapper<F, T> {

        T map(F failure);
    }
}
