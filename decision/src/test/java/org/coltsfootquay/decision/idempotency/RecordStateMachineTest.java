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

/** Guards against a record that lets two attempts send, or that loses an answer. */
final class RecordStateMachineTest {

    private static final String KEY = RecordOwner.rowKey("workspace", "key");
    private static final long SECOND = 1_000_000_000L;

    private final FakeTable table = new FakeTable();
    private boolean routersAlive;

    @Test
    void lostAnswerIsResolvedByTheSameWrite() {
        RecordStateMachine machine = machine("a", "digest");
        RecordAction.Write first = write(machine.start(0));
        table.apply(first.write());
        assertEquals(List.of(), machine.handleWriteResult(first.sequence(), WriteResult.unknown(), 0));
        RecordAction.Write second = write(machine.handleTimer(machine.nextTimerNanos()));
        assertEquals(first.write(), second.write());
        assertHeld(machine.handleWriteResult(second.sequence(), table.apply(second.write()), SECOND));
    }

    @Test
    void resultThatNeverComesIsSoughtAgain() {
        RecordStateMachine machine = machine("a", "digest");
        RecordAction.Write first = write(machine.start(0));
        RecordAction.Write second = write(machine.handleTimer(machine.nextTimerNanos()));
        assertTrue(second.sequence() > first.sequence());
        assertEquals(List.of(), machine.handleWriteResult(first.sequence(), table.apply(first.write()), SECOND));
        assertHeld(machine.handleWriteResult(second.sequence(), table.apply(second.write()), SECOND));
    }

    @Test
    void writeThatArrivesAfterTheEndHasNoEffect() {
        RecordStateMachine machine = held("a");
        RowWrite late = write(machine("a", "digest").start(0)).write();
        apply(machine.recordFinished(answer(10), SECOND));
        assertEquals(WriteOutcome.NOT_APPLIED, table.apply(late).outcome());
        assertEquals("finished", table.read(KEY).orElseThrow().value().text("state"));
    }

    @Test
    void unreachableStoreLeavesNoRecordThatBlocksTheNextAttempt() {
        RecordStateMachine machine = machine("a", "digest");
        RecordAction.Write late = write(machine.start(0));
        machine.handleWriteResult(late.sequence(), WriteResult.unknown(), 0);
        List<RecordAction> steps = machine.handleTimer(4 * SECOND);
        assertEquals(new RecordAction.Denied(Reason.STORE_UNREACHABLE), steps.get(0));
        RecordAction.Write tombstone = (RecordAction.Write) steps.get(1);
        machine.handleWriteResult(tombstone.sequence(), table.apply(tombstone.write()), 4 * SECOND);
        assertEquals(WriteOutcome.NOT_APPLIED, table.apply(late.write()).outcome());
        held("b");
    }

    @Test
    void abandonedTakeOverThatArrivesLateHasNoEffect() {
        apply(held("a").recordNotRun(SECOND));
        RecordStateMachine machine = machine("b", "digest");
        RecordAction.Write create = write(machine.start(0));
        RecordAction.Write takeOver = write(machine.handleWriteResult(create.sequence(), table.apply(create.write()), 0));
        machine.handleWriteResult(takeOver.sequence(), WriteResult.unknown(), 0);
        RecordAction.Write tombstone =
                (RecordAction.Write) machine.handleTimer(4 * SECOND).get(1);
        RecordAction.Write onRevision =
                write(machine.handleWriteResult(tombstone.sequence(), table.apply(tombstone.write()), 4 * SECOND));
        assertEquals(WriteOutcome.APPLIED, table.apply(onRevision.write()).outcome());
        assertEquals(WriteOutcome.NOT_APPLIED, table.apply(takeOver.write()).outcome());
    }

    @Test
    void finishedAnswerIsReplayed() {
        apply(held("a").recordFinished(answer(10), SECOND));
        RecordAction.Replayed replayed = (RecordAction.Replayed) outcome("b", "digest");
        assertEquals(201, replayed.response().status());
        assertEquals(
                Map.of("content-type", "text/plain: utf-8"), replayed.response().headers());
        assertArrayEquals(new byte[10], replayed.response().body());
    }

    @Test
    void largeAnswerIsStatedNotReplayed() {
        apply(held("a").recordFinished(answer(RecordedResponse.MAX_BODY_BYTES + 1), SECOND));
        assertEquals(new RecordAction.Denied(Reason.ANSWER_NOT_RECORDED), outcome("b", "digest"));
    }

    @Test
    void keyOfAnotherRequestIsDenied() {
        held("a");
        assertEquals(new RecordAction.Denied(Reason.KEY_REUSED), outcome("b", "other digest"));
    }

    @Test
    void startedRecordOfALiveRouterIsInProgress() {
        held("a");
        routersAlive = true;
        assertEquals(new RecordAction.Denied(Reason.IN_PROGRESS), outcome("b", "digest"));
    }

    @Test
    void startedRecordOfALostRouterIsUnknown() {
        held("a");
        assertEquals(new RecordAction.Denied(Reason.OUTCOME_UNKNOWN), outcome("b", "digest"));
    }

    @Test
    void brokenAttemptIsUnknownEvenWhenItsRouterLives() {
        apply(held("a").recordOutcomeUnknown(SECOND));
        routersAlive = true;
        assertEquals(new RecordAction.Denied(Reason.OUTCOME_UNKNOWN), outcome("b", "digest"));
    }

    @Test
    void attemptThatDidNotRunIsTakenOverByOneOnly() {
        apply(held("a").recordNotRun(SECOND));
        RecordStateMachine one = machine("b", "digest");
        RecordStateMachine two = machine("c", "digest");
        RecordAction.Write createOne = write(one.start(0));
        RecordAction.Write createTwo = write(two.start(0));
        RecordAction.Write takeOne = write(one.handleWriteResult(createOne.sequence(), table.apply(createOne.write()), 0));
        RecordAction.Write takeTwo = write(two.handleWriteResult(createTwo.sequence(), table.apply(createTwo.write()), 0));
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
    void statedInactionOfTheStoreIsResolvedByReading() {
        RecordStateMachine machine = machine("a", "digest");
        RecordAction.Write first = write(machine.start(0));
        WriteResult throttled = new WriteResult(WriteOutcome.NOT_APPLIED, 0, Optional.empty());
        RecordAction.Read read = (RecordAction.Read)
                machine.handleWriteResult(first.sequence(), throttled, 0).get(0);
        machine.handleReadResult(read.sequence(), Either.right(table.read(KEY)), 0);
        RecordAction.Write second = write(machine.handleTimer(machine.nextTimerNanos()));
        assertHeld(machine.handleWriteResult(second.sequence(), table.apply(second.write()), 0));
    }

    @Test
    void failedReadIsFollowedByAnotherWrite() {
        RecordStateMachine machine = machine("a", "digest");
        RecordAction.Write first = write(machine.start(0));
        WriteResult throttled = new WriteResult(WriteOutcome.NOT_APPLIED, 0, Optional.empty());
        RecordAction.Read read = (RecordAction.Read)
                machine.handleWriteResult(first.sequence(), throttled, 0).get(0);
        StoreException failure = new StoreException(StoreException.Kind.UNREACHABLE, "retry later");
        machine.handleReadResult(read.sequence(), Either.left(failure), 0);
        assertInstanceOf(
                RecordAction.Write.class, machine.handleTimer(machine.nextTimerNanos()).get(0));
    }

    private RecordStateMachine machine(String attempt, String digest) {
        RecordOwner owner = new RecordOwner(KEY, attempt, digest, new RouterId("router-" + attempt), 1);
        return new RecordStateMachine(owner, (router, incarnation) -> routersAlive);
    }

    private RecordStateMachine held(String attempt) {
        RecordStateMachine machine = machine(attempt, "digest");
        run(machine);
        assertTrue(machine.isHeld());
        return machine;
    }

    private RecordAction outcome(String attempt, String digest) {
        return run(machine(attempt, digest));
    }

    /** Carries out all writes until the machine states an outcome. */
    private RecordAction run(RecordStateMachine machine) {
        RecordAction step = machine.start(0).get(0);
        while (step instanceof RecordAction.Write write) {
            step = machine.handleWriteResult(write.sequence(), table.apply(write.write()), 0)
                    .get(0);
        }
        return step;
    }

    private void apply(List<RecordAction> steps) {
        table.apply(write(steps).write());
    }

    private static RecordAction.Write write(List<RecordAction> steps) {
        return (RecordAction.Write) steps.get(0);
    }

    private static void assertHeld(List<RecordAction> steps) {
        assertEquals(List.of(new RecordAction.Held()), steps);
    }

    private static RecordedResponse answer(int length) {
        return new RecordedResponse(201, Map.of("content-type", "text/plain: utf-8"), new byte[length]);
    }
}
