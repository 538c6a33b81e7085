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
 * State machine of the record of one attempt at a non-idempotent request.
 *
 * <p>Each row carries a field {@code mark}, the attempt and its state. The first write is conditional on the row being
 * absent or carrying the mark of that same write, so it can be repeated when its answer is lost. The ending replaces
 * the mark; a first write that the network delivers late then finds another mark and has no effect.
 */
public final class RecordStateMachine {

    /** Time after its last change for which a record is kept. */
    public static final Duration TIME_TO_LIVE = Duration.ofHours(24);

    /** Time for which the confirmation of the first write is sought. */
    static final long CONFIRM_WITHIN_NANOS = Duration.ofSeconds(3).toNanos();

    /**
     * Time for which recording the ending is tried; the caller does not wait for it. Longer than a store outage of an
     * hour, because a record that stays {@code started} makes each retry {@code in_progress} while this router lives.
     */
    static final long SETTLE_WITHIN_NANOS = Duration.ofHours(2).toNanos();

    /** Time after which a result that did not come counts as unknown; the batching router may have died. */
    private static final long RESULT_WITHIN_NANOS = Duration.ofSeconds(1).toNanos();

    private static final long FIRST_DELAY_NANOS = Duration.ofMillis(50).toNanos();
    private static final long LONGEST_DELAY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long LONGEST_SETTLE_DELAY_NANOS =
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
    private RowWrite pending;
    private long takenRevision = -1;
    private RowValue ending;
    private long deadlineNanos;
    private long delayNanos = FIRST_DELAY_NANOS;
    private long nextTimerNanos = Long.MAX_VALUE;

    /**
     * Creates the machine of an attempt.
     *
     * @param owner attempt
     * @param routerAlive tells whether a router is a member with this incarnation
     */
    public RecordStateMachine(RecordOwner owner, BiPredicate<RouterId, Long> routerAlive) {
        this.owner = ArgumentUtils.requireValue(owner, "owner");
        this.routerAlive = ArgumentUtils.requireValue(routerAlive, "routerAlive");
    }

    /**
     * Begins to create the record.
     *
     * @param nowNanos current time
     * @return steps
     * @throws IllegalStateException if called twice
     */
    public List<RecordAction> start(long nowNanos) {
        if (phase != Phase.IDLE) {
            throw new IllegalStateException("record of " + owner.attempt() + " was begun before");
        }
        phase = Phase.CREATING;
        deadlineNanos = nowNanos + CONFIRM_WITHIN_NANOS;
        return issue(createWrite(), nowNanos);
    }

    /**
     * Handles the result of a write.
     *
     * @param number number of the write; a result of an older step is ignored
     * @param result result
     * @param nowNanos current time
     * @return steps
     */
    public List<RecordAction> handleWriteResult(long number, WriteResult result, long nowNanos) {
        if (number != sequence) {
            return List.of();
        }
        return switch (phase) {
            case CREATING -> created(result, nowNanos);
            case SETTLING -> settledBy(result, nowNanos);
            default -> List.of();
        };
    }

    /**
     * Handles the result of a read.
     *
     * @param number number of the read; a result of an older step is ignored
     * @param result row or failure
     * @param nowNanos current time
     * @return steps
     */
    public List<RecordAction> handleReadResult(long number, Either<StoreException, Optional<Row>> result, long nowNanos) {
        if (number != sequence || phase != Phase.CREATING) {
            return List.of();
        }
        if (result.isLeft() || result.get().isEmpty()) {
            return repeatLater(nowNanos);
        }
        return examine(result.get().get(), nowNanos);
    }

    /**
     * Repeats a write whose outcome is unknown when its time has come.
     *
     * @param nowNanos current time
     * @return steps
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
        return issue(pending, nowNanos);
    }

    /**
     * Records the answer of the request.
     *
     * @param answer answer
     * @param nowNanos current time
     * @return steps
     */
    public List<RecordAction> recordFinished(RecordedResponse answer, long nowNanos) {
        return settle(answer.addTo(value(FINISHED)), nowNanos);
    }

    /**
     * Records that this attempt sent no byte and never will, so that another attempt may take the row over.
     *
     * @param nowNanos current time
     * @return steps
     */
    public List<RecordAction> recordNotRun(long nowNanos) {
        return settle(value(NOT_RUN), nowNanos);
    }

    /**
     * Records that the request may have run and that its answer is lost.
     *
     * @param nowNanos current time
     * @return steps
     */
    public List<RecordAction> recordOutcomeUnknown(long nowNanos) {
        return settle(value(OUTCOME_UNKNOWN), nowNanos);
    }

    /**
     * Tells whether the row is confirmed to name this attempt and no ending was recorded.
     *
     * @return true if the attempt may send
     */
    public boolean isHeld() {
        return phase == Phase.HELD;
    }

    /**
     * Tells whether the machine waits for the store.
     *
     * @return true while further steps may follow
     */
    public boolean isWaitingForStore() {
        return phase == Phase.CREATING || phase == Phase.SETTLING;
    }

    /**
     * Returns when {@link #handleTimer} is due.
     *
     * @return time in nanoseconds, or {@link Long#MAX_VALUE}
     */
    public long nextTimerNanos() {
        return nextTimerNanos;
    }

    private List<RecordAction> created(WriteResult result, long nowNanos) {
        if (result.outcome() == WriteOutcome.APPLIED) {
            return held();
        }
        if (result.outcome() == WriteOutcome.UNKNOWN) {
            return repeatLater(nowNanos);
        }
        if (result.current().isPresent()) {
            return examine(result.current().get(), nowNanos);
        }
        pending = createWrite();
        nextTimerNanos = nowNanos + RESULT_WITHIN_NANOS;
        return List.of(new RecordAction.Read(++sequence, owner.key()));
    }

    private List<RecordAction> examine(Row row, long nowNanos) {
        RowValue value = row.value();
        if (row.deleted()) {
            pending = createWrite();
            return repeatLater(nowNanos);
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
        takenRevision = row.revision();
        return issue(put(value(STARTED), new RowCondition.RevisionIs(row.revision())), nowNanos);
    }

    private List<RecordAction> settledBy(WriteResult result, long nowNanos) {
        if (result.outcome() == WriteOutcome.UNKNOWN) {
            return repeatLater(nowNanos);
        }
        boolean replacesTakenRow = result.outcome() == WriteOutcome.NOT_APPLIED
                && result.current()
                        .filter(row -> row.revision() == takenRevision)
                        .isPresent();
        if (replacesTakenRow) {
            // A take-over that is still under way has to fail, too.
            return issue(put(ending, new RowCondition.RevisionIs(takenRevision)), nowNanos);
        }
        return settled();
    }

    private List<RecordAction> settle(RowValue newEnding, long nowNanos) {
        if (phase == Phase.IDLE || phase == Phase.DENIED) {
            phase = Phase.SETTLED;
            return List.of(new RecordAction.Finalized());
        }
        if (phase == Phase.SETTLING || phase == Phase.SETTLED) {
            return List.of();
        }
        phase = Phase.SETTLING;
        ending = newEnding;
        deadlineNanos = nowNanos + SETTLE_WITHIN_NANOS;
        delayNanos = FIRST_DELAY_NANOS;
        nextTimerNanos = Long.MAX_VALUE;
        return issue(put(ending, new RowCondition.AbsentOrFieldIs(MARK, mark(STARTED))), nowNanos);
    }

    private List<RecordAction> repeatLater(long nowNanos) {
        if (nowNanos + delayNanos > deadlineNanos) {
            return giveUp(nowNanos);
        }
        nextTimerNanos = nowNanos + delayNanos;
        long longest = phase == Phase.SETTLING ? LONGEST_SETTLE_DELAY_NANOS : LONGEST_DELAY_NANOS;
        delayNanos = Math.min(longest, 2 * delayNanos);
        return List.of();
    }

    /** Ends the attempts to write; keeps a first write that is still under way from taking effect. */
    private List<RecordAction> giveUp(long nowNanos) {
        if (phase == Phase.SETTLING) {
            return settled();
        }
        RecordAction denied = new RecordAction.Denied(RecordAction.Denied.Reason.STORE_UNREACHABLE);
        return io.vavr.collection.List.of(denied).appendAll(recordNotRun(nowNanos)).asJava();
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

    private List<RecordAction> settled() {
        phase = Phase.SETTLED;
        nextTimerNanos = Long.MAX_VALUE;
        return List.of(new RecordAction.Finalized());
    }

    private RowWrite createWrite() {
        return put(value(STARTED), new RowCondition.AbsentOrFieldIs(MARK, mark(STARTED)));
    }

    private List<RecordAction> issue(RowWrite write, long nowNanos) {
        pending = write;
        nextTimerNanos = nowNanos + RESULT_WITHIN_NANOS;
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
        SETTLING,
        SETTLED
    }
}
