package org.coltsfootquay.decision.idempotency;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.idempotency.RecordAction.Denied.Reason;
import org.coltsfootquay.decision.request.FakeTable;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;
import org.junit.jupiter.api.Test;

/** Guards against a record that lets two attempts send the request or that loses the recorded response. */
final class RecordStateMachineTest {

    private static final String KEY = RecordOwner.rowKey("workspace", "key");
    private static final long SECOND = 1_000_000_000L;

    private final FakeTable table = new FakeTable();
    private boolean routersAlive;

    @Test
    void lostWriteResultIsResolvedByRepeatingTheWrite() {
        RecordStateMachine stateMachine = stateMachine("a", "digest");
        RecordAction.Write first = write(stateMachine.start(0));
        table.apply(first.write());
        assertEquals(List.of(), stateMachine.handleWriteResult(first.sequence(), WriteResult.unknown(), 0));
        RecordAction.Write second = write(stateMachine.handleTimer(stateMachine.nextTimerNanos()));
        assertEquals(first.write(), second.write());
        assertHeld(stateMachine.handleWriteResult(second.sequence(), table.apply(second.write()), SECOND));
    }

    @Test
    void writeIsRepeatedWhenResultTimesOut() {
        RecordStateMachine stateMachine = stateMachine("a", "digest");
        RecordAction.Write first = write(stateMachine.start(0));
        RecordAction.Write second = write(stateMachine.handleTimer(stateMachine.nextTimerNanos()));
        assertTrue(second.sequence() > first.sequence());
        assertEquals(List.of(), stateMachine.handleWriteResult(first.sequence(), table.apply(first.write()), SECOND));
        assertHeld(stateMachine.handleWriteResult(second.sequence(), table.apply(second.write()), SECOND));
    }

    @Test
    void lateFirstWriteAfterFinalWriteHasNoEffect() {
        RecordStateMachine stateMachine = held("a");
        RowWrite late = write(stateMachine("a", "digest").start(0)).write();
        apply(stateMachine.recordFinished(response(10), SECOND));
        assertEquals(WriteOutcome.NOT_APPLIED, table.apply(late).outcome());
        assertEquals("finished", table.read(KEY).orElseThrow().value().text("state"));
    }

    @Test
    void abandonedCreationDoesNotBlockTheNextAttempt() {
        RecordStateMachine stateMachine = stateMachine("a", "digest");
        RecordAction.Write late = write(stateMachine.start(0));
        stateMachine.handleWriteResult(late.sequence(), WriteResult.unknown(), 0);
        List<RecordAction> actions = stateMachine.handleTimer(4 * SECOND);
        assertEquals(new RecordAction.Denied(Reason.STORE_UNREACHABLE), actions.get(0));
        RecordAction.Write tombstone = (RecordAction.Write) actions.get(1);
        stateMachine.handleWriteResult(tombstone.sequence(), table.apply(tombstone.write()), 4 * SECOND);
        assertEquals(WriteOutcome.NOT_APPLIED, table.apply(late.write()).outcome());
        held("b");
    }

    @Test
    void lateWriteOfAbandonedTakeOverHasNoEffect() {
        apply(held("a").recordNotRun(SECOND));
        RecordStateMachine stateMachine = stateMachine("b", "digest");
        RecordAction.Write create = write(stateMachine.start(0));
        RecordAction.Write takeOver =
                write(stateMachine.handleWriteResult(create.sequence(), table.apply(create.write()), 0));
        stateMachine.handleWriteResult(takeOver.sequence(), WriteResult.unknown(), 0);
        RecordAction.Write tombstone =
                (RecordAction.Write) stateMachine.handleTimer(4 * SECOND).get(1);
        RecordAction.Write onRevision =
                write(stateMachine.handleWriteResult(tombstone.sequence(), table.apply(tombstone.write()), 4 * SECOND));
        assertEquals(WriteOutcome.APPLIED, table.apply(onRevision.write()).outcome());
        assertEquals(WriteOutcome.NOT_APPLIED, table.apply(takeOver.write()).outcome());
    }

    @Test
    void finishedResponseIsReplayed() {
        apply(held("a").recordFinished(response(10), SECOND));
        RecordAction.Replayed replayed = (RecordAction.Replayed) outcome("b", "digest");
        assertEquals(201, replayed.response().status());
        assertEquals(
                Map.of("content-type", "text/plain: utf-8"), replayed.response().headers());
        assertArrayEquals(new byte[10], replayed.response().body());
    }

    @Test
    void responseAboveSizeLimitIsDeniedInsteadOfReplayed() {
        apply(held("a").recordFinished(response(RecordedResponse.MAX_BODY_BYTES + 1), SECOND));
        assertEquals(new RecordAction.Denied(Reason.ANSWER_NOT_RECORDED), outcome("b", "digest"));
    }

    @Test
    void keyReusedWithDifferentRequestIsDenied() {
        held("a");
        assertEquals(new RecordAction.Denied(Reason.KEY_REUSED), outcome("b", "other digest"));
    }

    @Test
    void startedRecordOfLiveRouterIsInProgress() {
        held("a");
        routersAlive = true;
        assertEquals(new RecordAction.Denied(Reason.IN_PROGRESS), outcome("b", "digest"));
    }

    @Test
    void startedRecordOfFailedRouterHasUnknownOutcome() {
        held("a");
        assertEquals(new RecordAction.Denied(Reason.OUTCOME_UNKNOWN), outcome("b", "digest"));
    }

    @Test
    void unknownOutcomeIsReportedEvenIfRouterIsAlive() {
        apply(held("a").recordOutcomeUnknown(SECOND));
        routersAlive = true;
        assertEquals(new RecordAction.Denied(Reason.OUTCOME_UNKNOWN), outcome("b", "digest"));
    }

    @Test
    void recordOfAttemptThatDidNotRunIsTakenOverOnce() {
        apply(held("a").recordNotRun(SECOND));
        RecordStateMachine one = stateMachine("b", "digest");
        RecordStateMachine two = stateMachine("c", "digest");
        RecordAction.Write createOne = write(one.start(0));
        RecordAction.Write createTwo = write(two.start(0));
        RecordAction.Write takeOne =
                write(one.handleWriteResult(createOne.sequence(), table.apply(createOne.write()), 0));
        RecordAction.Write takeTwo =
                write(two.handleWriteResult(createTwo.sequence(), table.apply(createTwo.write()), 0));
        assertHeld(one.handleWriteResult(takeOne.sequence(), table.apply(takeOne.write()), 0));
        two.handleWriteResult(takeTwo.sequence(), table.apply(takeTwo.write()), 0);
        assertFalse(two.isHeld());
    }

    @Test
    void expiredRecordIsTakenOver() {
        held("a");
        table.expire(KEY);
        held("b");
    }

    @Test
    void writeRefusedByStoreIsResolvedByReading() {
        RecordStateMachine stateMachine = stateMachine("a", "digest");
        RecordAction.Write first = write(stateMachine.start(0));
        WriteResult throttled = new WriteResult(WriteOutcome.NOT_APPLIED, 0, Optional.empty());
        RecordAction.Read read = (RecordAction.Read)
                stateMachine.handleWriteResult(first.sequence(), throttled, 0).get(0);
        stateMachine.handleReadResult(read.sequence(), Either.right(table.read(KEY)), 0);
        RecordAction.Write second = write(stateMachine.handleTimer(stateMachine.nextTimerNanos()));
        assertHeld(stateMachine.handleWriteResult(second.sequence(), table.apply(second.write()), 0));
    }

    @Test
    void failedReadIsFollowedByAnotherWrite() {
        RecordStateMachine stateMachine = stateMachine("a", "digest");
        RecordAction.Write first = write(stateMachine.start(0));
        WriteResult throttled = new WriteResult(WriteOutcome.NOT_APPLIED, 0, Optional.empty());
        RecordAction.Read read = (RecordAction.Read)
                stateMachine.handleWriteResult(first.sequence(), throttled, 0).get(0);
        StoreException failure = new StoreException(StoreException.Kind.UNREACHABLE, "retry later");
        stateMachine.handleReadResult(read.sequence(), Either.left(failure), 0);
        assertInstanceOf(
                RecordAction.Write.class,
                stateMachine.handleTimer(stateMachine.nextTimerNanos()).get(0));
    }

    private RecordStateMachine stateMachine(String attempt, String digest) {
        RecordOwner owner = new RecordOwner(KEY, attempt, digest, new RouterId("router-" + attempt), 1);
        return new RecordStateMachine(owner, (router, incarnation) -> routersAlive);
    }

    private RecordStateMachine held(String attempt) {
        RecordStateMachine stateMachine = stateMachine(attempt, "digest");
        run(stateMachine);
        assertTrue(stateMachine.isHeld());
        return stateMachine;
    }

    private RecordAction outcome(String attempt, String digest) {
        return run(stateMachine(attempt, digest));
    }

    /** Applies all writes until the state machine returns an outcome. */
    private RecordAction run(RecordStateMachine stateMachine) {
        RecordAction action = stateMachine.start(0).get(0);
        while (action instanceof RecordAction.Write write) {
            action = stateMachine
                    .handleWriteResult(write.sequence(), table.apply(write.write()), 0)
                    .get(0);
        }
        return action;
    }

    private void apply(List<RecordAction> actions) {
        table.apply(write(actions).write());
    }

    private static RecordAction.Write write(List<RecordAction> actions) {
        return (RecordAction.Write) actions.get(0);
    }

    private static void assertHeld(List<RecordAction> actions) {
        assertEquals(List.of(new RecordAction.Held()), actions);
    }

    private static RecordedResponse response(int length) {
        return new RecordedResponse(201, Map.of("content-type", "text/plain: utf-8"), new byte[length]);
    }
}
