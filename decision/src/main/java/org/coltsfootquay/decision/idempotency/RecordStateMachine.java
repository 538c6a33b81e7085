package org.coltsfootquay.decision.idempotency;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BiPredicate;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowValue;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;

/**
 * State machine of the idempotency record of one attempt at a non-idempotent request.
 *
 * <p>Each row has a field {@code mark} that holds the attempt and its state. The first write is conditional on the row
 * being absent or having the mark of that same write, so it can be repeated if its response is lost. The final write
 * replaces the mark; a first write that arrives late then fails its condition and has no effect.
 */
public final class RecordStateMachine {

    /** Time for which a record is kept after its last change. */
    public static final Duration TIME_TO_LIVE = Duration.ofHours(24);

    /** Time within which the first write must be confirmed. */
    static final long CREATE_TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();

    /**
     * Time for which the write of the final state is retried; the caller does not wait for it. It exceeds a store
     * outage of one hour, because while a record stays {@code started} and this router is alive, every retry of the
     * request is refused as {@code in_progress}.
     */
    static final long FINALIZE_TIMEOUT_NANOS = Duration.ofHours(2).toNanos();

    /** Time after which a missing result is treated as unknown; the batching router may have failed. */
    private static final long RESULT_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    private static final long INITIAL_RETRY_DELAY_NANOS = Duration.ofMillis(50).toNanos();
    private static final long MAX_CREATE_RETRY_DELAY_NANOS =
            Duration.ofSeconds(1).toNanos();
    private static final long MAX_FINALIZE_RETRY_DELAY_NANOS =
            Duration.ofSeconds(10).toNanos();
    private static final String STARTED = "started";
    private static final String FINISHED = "finished";
    private static final String NOT_RUN = "not_run";
    private static final String OUTCOME_UNKNOWN = "unknown";
    private static final String MARK = "mark";
    private static final String STATE = "state";
    private static final String ATTEMPT = "attempt";
    private static final String DIGEST = "digest";
    private static final String ROUTER = "router";
    private static final String INCARNATION = "incarnation";

    private final RecordOwner owner;
    private final BiPredicate<RouterId, Long> routerAlive;
    private Phase phase = Phase.IDLE;
    private long sequence;
    private RowWrite pendingWrite;
    private long takenOverRevision = -1;
    private RowValue finalValue;
    private long deadlineNanos;
    private long retryDelayNanos = INITIAL_RETRY_DELAY_NANOS;
    private long nextTimerNanos = Long.MAX_VALUE;

    /**
     * Creates the state machine of an attempt.
     *
     * @param owner attempt that claims the record
     * @param routerAlive returns whether a router is a member of the fleet with the given incarnation
     */
    public RecordStateMachine(RecordOwner owner, BiPredicate<RouterId, Long> routerAlive) {
        this.owner = ArgumentUtils.requireValue(owner, "owner");
        this.routerAlive = ArgumentUtils.requireValue(routerAlive, "routerAlive");
    }

    /**
     * Starts creating the record.
     *
     * @param nowNanos current time
     * @return actions to perform
     * @throws IllegalStateException if called twice
     */
    public List<RecordAction> start(long nowNanos) {
        if (phase != Phase.IDLE) {
            throw new IllegalStateException("record of " + owner.attempt() + " was already started");
        }
        phase = Phase.CREATING;
        deadlineNanos = nowNanos + CREATE_TIMEOUT_NANOS;
        return issue(createWrite(), nowNanos);
    }

    /**
     * Handles the result of a write.
     *
     * @param number number of the write; the result of an earlier action is ignored
     * @param result result of the write
     * @param nowNanos current time
     * @return actions to perform
     */
    public List<RecordAction> handleWriteResult(long number, WriteResult result, long nowNanos) {
        if (number != sequence) {
            return List.of();
        }
        return switch (phase) {
            case CREATING -> handleCreateResult(result, nowNanos);
            case FINALIZING -> handleFinalizeResult(result, nowNanos);
            default -> List.of();
        };
    }

    /**
     * Handles the result of a read.
     *
     * @param number number of the read; the result of an earlier action is ignored
     * @param result row or failure
     * @param nowNanos current time
     * @return actions to perform
     */
    public List<RecordAction> handleReadResult(
            long number, Either<StoreException, Optional<Row>> result, long nowNanos) {
        if (number != sequence || phase != Phase.CREATING) {
            return List.of();
        }
        if (result.isLeft() || result.get().isEmpty()) {
            return scheduleRetry(nowNanos);
        }
        return handleExistingRow(result.get().get(), nowNanos);
    }

    /**
     * Repeats the pending write if its retry or its result timeout is due.
     *
     * @param nowNanos current time
     * @return actions to perform
     */
    public List<RecordAction> handleTimer(long nowNanos) {
        if (nowNanos < nextTimerNanos) {
            return List.of();
        }
        nextTimerNanos = Long.MAX_VALUE;
        if (!isWaitingForStore()) {
            return List.of();
        }
        if (nowNanos >= deadlineNanos) {
            return giveUp(nowNanos);
        }
        return issue(pendingWrite, nowNanos);
    }

    /**
     * Records the response of the request.
     *
     * @param response response
     * @param nowNanos current time
     * @return actions to perform
     */
    public List<RecordAction> recordFinished(RecordedResponse response, long nowNanos) {
        return finalizeRecord(response.addTo(value(FINISHED)), nowNanos);
    }

    /**
     * Records that this attempt has sent no bytes and never will, so that another attempt may take over the row.
     *
     * @param nowNanos current time
     * @return actions to perform
     */
    public List<RecordAction> recordNotRun(long nowNanos) {
        return finalizeRecord(value(NOT_RUN), nowNanos);
    }

    /**
     * Records that the request may have run and that its response is lost.
     *
     * @param nowNanos current time
     * @return actions to perform
     */
    public List<RecordAction> recordOutcomeUnknown(long nowNanos) {
        return finalizeRecord(value(OUTCOME_UNKNOWN), nowNanos);
    }

    /**
     * Returns whether the row is confirmed to belong to this attempt and no final state has been set.
     *
     * @return true if the attempt may send the request
     */
    public boolean isHeld() {
        return phase == Phase.HELD;
    }

    /**
     * Returns whether a write or read is outstanding or a retry is scheduled.
     *
     * @return true while further actions may follow
     */
    public boolean isWaitingForStore() {
        return phase == Phase.CREATING || phase == Phase.FINALIZING;
    }

    /**
     * Returns the time at which {@link #handleTimer} is due.
     *
     * @return time in nanoseconds, or {@link Long#MAX_VALUE} if no timer is pending
     */
    public long nextTimerNanos() {
        return nextTimerNanos;
    }

    private List<RecordAction> handleCreateResult(WriteResult result, long nowNanos) {
        if (result.outcome() == WriteOutcome.APPLIED) {
            return held();
        }
        if (result.outcome() == WriteOutcome.UNKNOWN) {
            return scheduleRetry(nowNanos);
        }
        if (result.current().isPresent()) {
            return handleExistingRow(result.current().get(), nowNanos);
        }
        pendingWrite = createWrite();
        nextTimerNanos = nowNanos + RESULT_TIMEOUT_NANOS;
        return List.of(new RecordAction.Read(++sequence, owner.key()));
    }

    private List<RecordAction> handleExistingRow(Row row, long nowNanos) {
        RowValue value = row.value();
        if (row.deleted()) {
            pendingWrite = createWrite();
            return scheduleRetry(nowNanos);
        }
        if (value.optionalText(MARK).equals(Optional.of(mark(STARTED)))) {
            return held();
        }
        if (row.expired()) {
            return takeOver(row, nowNanos);
        }
        if (!value.text(DIGEST).equals(owner.digest())) {
            return deny(RecordAction.Denied.Reason.KEY_REUSED);
        }
        return switch (value.text(STATE)) {
            case NOT_RUN -> takeOver(row, nowNanos);
            case FINISHED -> {
                if (RecordedResponse.isOmitted(value)) {
                    yield deny(RecordAction.Denied.Reason.ANSWER_NOT_RECORDED);
                }
                phase = Phase.DENIED;
                nextTimerNanos = Long.MAX_VALUE;
                yield List.of(new RecordAction.Replayed(RecordedResponse.from(value)));
            }
            case STARTED ->
                deny(
                        routerAlive.test(new RouterId(value.text(ROUTER)), value.number(INCARNATION))
                                ? RecordAction.Denied.Reason.IN_PROGRESS
                                : RecordAction.Denied.Reason.OUTCOME_UNKNOWN);
            default -> deny(RecordAction.Denied.Reason.OUTCOME_UNKNOWN);
        };
    }

    private List<RecordAction> takeOver(Row row, long nowNanos) {
        if (nowNanos >= deadlineNanos) {
            return giveUp(nowNanos);
        }
        takenOverRevision = row.revision();
        return issue(put(value(STARTED), new RowCondition.RevisionIs(row.revision())), nowNanos);
    }

    private List<RecordAction> handleFinalizeResult(WriteResult result, long nowNanos) {
        if (result.outcome() == WriteOutcome.UNKNOWN) {
            return scheduleRetry(nowNanos);
        }
        boolean takeOverPending = result.outcome() == WriteOutcome.NOT_APPLIED
                && result.current()
                        .filter(row -> row.revision() == takenOverRevision)
                        .isPresent();
        if (takeOverPending) {
            // Replacing the row also makes the condition of a take-over that is still in flight fail.
            return issue(put(finalValue, new RowCondition.RevisionIs(takenOverRevision)), nowNanos);
        }
        return finalized();
    }

    private List<RecordAction> finalizeRecord(RowValue newFinalValue, long nowNanos) {
        if (phase == Phase.IDLE || phase == Phase.DENIED) {
            phase = Phase.FINALIZED;
            return List.of(new RecordAction.Finalized());
        }
        if (phase == Phase.FINALIZING || phase == Phase.FINALIZED) {
            return List.of();
        }
        phase = Phase.FINALIZING;
        finalValue = newFinalValue;
        deadlineNanos = nowNanos + FINALIZE_TIMEOUT_NANOS;
        retryDelayNanos = INITIAL_RETRY_DELAY_NANOS;
        nextTimerNanos = Long.MAX_VALUE;
        return issue(put(finalValue, new RowCondition.AbsentOrFieldIs(MARK, mark(STARTED))), nowNanos);
    }

    private List<RecordAction> scheduleRetry(long nowNanos) {
        if (nowNanos + retryDelayNanos > deadlineNanos) {
            return giveUp(nowNanos);
        }
        nextTimerNanos = nowNanos + retryDelayNanos;
        long maxDelayNanos = phase == Phase.FINALIZING ? MAX_FINALIZE_RETRY_DELAY_NANOS : MAX_CREATE_RETRY_DELAY_NANOS;
        retryDelayNanos = Math.min(maxDelayNanos, 2 * retryDelayNanos);
        return List.of();
    }

    /** Stops retrying; in the creating phase also prevents a first write still in flight from taking effect. */
    private List<RecordAction> giveUp(long nowNanos) {
        if (phase == Phase.FINALIZING) {
            return finalized();
        }
        RecordAction denied = new RecordAction.Denied(RecordAction.Denied.Reason.STORE_UNREACHABLE);
        return io.vavr.collection.List.of(denied)
                .appendAll(recordNotRun(nowNanos))
                .asJava();
    }

    private List<RecordAction> held() {
        phase = Phase.HELD;
        nextTimerNanos = Long.MAX_VALUE;
        return List.of(new RecordAction.Held());
    }

    private List<RecordAction> deny(RecordAction.Denied.Reason reason) {
        phase = Phase.DENIED;
        nextTimerNanos = Long.MAX_VALUE;
        return List.of(new RecordAction.Denied(reason));
    }

    private List<RecordAction> finalized() {
        phase = Phase.FINALIZED;
        nextTimerNanos = Long.MAX_VALUE;
        return List.of(new RecordAction.Finalized());
    }

    private RowWrite createWrite() {
        return put(value(STARTED), new RowCondition.AbsentOrFieldIs(MARK, mark(STARTED)));
    }

    private List<RecordAction> issue(RowWrite write, long nowNanos) {
        pendingWrite = write;
        nextTimerNanos = nowNanos + RESULT_TIMEOUT_NANOS;
        return List.of(new RecordAction.Write(++sequence, write));
    }

    private RowWrite put(RowValue value, RowCondition condition) {
        return new RowWrite.Put(owner.key(), value, condition, Optional.of(TIME_TO_LIVE));
    }

    private RowValue value(String state) {
        return RowValue.empty()
                .with(STATE, state)
                .with(MARK, mark(state))
                .with(ATTEMPT, owner.attempt())
                .with(DIGEST, owner.digest())
                .with(ROUTER, owner.router())
                .with(INCARNATION, owner.incarnation());
    }

    private String mark(String state) {
        return owner.attempt() + "/" + state;
    }

    private enum Phase {
        IDLE,
        CREATING,
        HELD,
        DENIED,
        FINALIZING,
        FINALIZED
    }
}
