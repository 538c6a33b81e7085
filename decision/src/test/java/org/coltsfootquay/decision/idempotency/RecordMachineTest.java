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
import org.coltsfootquay.decision.idempotency.RecordStep.Denied.Reason;
import org.coltsfootquay.decision.request.FakeTable;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;
import org.junit.jupiter.api.Test;

/** Guards against a record that lets two attempts send, or that loses an answer. */
final class RecordMachineTest {

    private static final String KEY = RecordOwner.rowKey("workspace", "key");
    private static final long SECOND = 1_000_000_000L;

    private final FakeTable table = new FakeTable();
    private boolean routersAlive;

    @Test
    void lostAnswerIsResolvedByTheSameWrite() {
        RecordMachine machine = machine("a", "digest");
        RecordStep.Write first = write(machine.begin(0));
        table.apply(first.write());
        assertEquals(List.of(), machine.written(first.sequence(), WriteResult.unknown(), 0));
        RecordStep.Write second = write(machine.timePassed(machine.wakeNanos()));
        assertEquals(first.write(), second.write());
        assertHeld(machine.written(second.sequence(), table.apply(second.write()), SECOND));
    }

    @Test
    void resultThatNeverComesIsSoughtAgain() {
        RecordMachine machine = machine("a", "digest");
        RecordStep.Write first = write(machine.begin(0));
        RecordStep.Write second = write(machine.timePassed(machine.wakeNanos()));
        assertTrue(second.sequence() > first.sequence());
        assertEquals(List.of(), machine.written(first.sequence(), table.apply(first.write()), SECOND));
        assertHeld(machine.written(second.sequence(), table.apply(second.write()), SECOND));
    }

    @Test
    void writeThatArrivesAfterTheEndHasNoEffect() {
        RecordMachine machine = held("a");
        RowWrite late = write(machine("a", "digest").begin(0)).write();
        apply(machine.finished(answer(10), SECOND));
        assertEquals(WriteOutcome.NOT_APPLIED, table.apply(late).outcome());
        assertEquals("finished", table.read(KEY).orElseThrow().value().text("state"));
    }

    @Test
    void unreachableStoreLeavesNoRecordThatBlocksTheNextAttempt() {
        RecordMachine machine = machine("a", "digest");
        RecordStep.Write late = write(machine.begin(0));
        machine.written(late.sequence(), WriteResult.unknown(), 0);
        List<RecordStep> steps = machine.timePassed(4 * SECOND);
        assertEquals(new RecordStep.Denied(Reason.STORE_UNREACHABLE), steps.get(0));
        RecordStep.Write tombstone = (RecordStep.Write) steps.get(1);
        machine.written(tombstone.sequence(), table.apply(tombstone.write()), 4 * SECOND);
        assertEquals(WriteOutcome.NOT_APPLIED, table.apply(late.write()).outcome());
        held("b");
    }

    @Test
    void abandonedTakeOverThatArrivesLateHasNoEffect() {
        apply(held("a").notRun(SECOND));
        RecordMachine machine = machine("b", "digest");
        RecordStep.Write create = write(machine.begin(0));
        RecordStep.Write takeOver = write(machine.written(create.sequence(), table.apply(create.write()), 0));
        machine.written(takeOver.sequence(), WriteResult.unknown(), 0);
        RecordStep.Write tombstone =
                (RecordStep.Write) machine.timePassed(4 * SECOND).get(1);
        RecordStep.Write onRevision =
                write(machine.written(tombstone.sequence(), table.apply(tombstone.write()), 4 * SECOND));
        assertEquals(WriteOutcome.APPLIED, table.apply(onRevision.write()).outcome());
        assertEquals(WriteOutcome.NOT_APPLIED, table.apply(takeOver.write()).outcome());
    }

    @Test
    void finishedAnswerIsReplayed() {
        apply(held("a").finished(answer(10), SECOND));
        RecordStep.Replayed replayed = (RecordStep.Replayed) outcome("b", "digest");
        assertEquals(201, replayed.answer().status());
        assertEquals(
                Map.of("content-type", "text/plain: utf-8"), replayed.answer().headers());
        assertArrayEquals(new byte[10], replayed.answer().body());
    }

    @Test
    void largeAnswerIsStatedNotReplayed() {
        apply(held("a").finished(answer(RecordedAnswer.MAX_BODY_BYTES + 1), SECOND));
        assertEquals(new RecordStep.Denied(Reason.ANSWER_NOT_RECORDED), outcome("b", "digest"));
    }

    @Test
    void keyOfAnotherRequestIsDenied() {
        held("a");
        assertEquals(new RecordStep.Denied(Reason.KEY_REUSED), outcome("b", "other digest"));
    }

    @Test
    void startedRecordOfALiveRouterIsInProgress() {
        held("a");
        routersAlive = true;
        assertEquals(new RecordStep.Denied(Reason.IN_PROGRESS), outcome("b", "digest"));
    }

    @Test
    void startedRecordOfALostRouterIsUnknown() {
        held("a");
        assertEquals(new RecordStep.Denied(Reason.OUTCOME_UNKNOWN), outcome("b", "digest"));
    }

    @Test
    void brokenAttemptIsUnknownEvenWhenItsRouterLives() {
        apply(held("a").outcomeUnknown(SECOND));
        routersAlive = true;
        assertEquals(new RecordStep.Denied(Reason.OUTCOME_UNKNOWN), outcome("b", "digest"));
    }

    @Test
    void attemptThatDidNotRunIsTakenOverByOneOnly() {
        apply(held("a").notRun(SECOND));
        RecordMachine one = machine("b", "digest");
        RecordMachine two = machine("c", "digest");
        RecordStep.Write createOne = write(one.begin(0));
        RecordStep.Write createTwo = write(two.begin(0));
        RecordStep.Write takeOne = write(one.written(createOne.sequence(), table.apply(createOne.write()), 0));
        RecordStep.Write takeTwo = write(two.written(createTwo.sequence(), table.apply(createTwo.write()), 0));
        assertHeld(one.written(takeOne.sequence(), table.apply(takeOne.write()), 0));
        two.written(takeTwo.sequence(), table.apply(takeTwo.write()), 0);
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
        RecordMachine machine = machine("a", "digest");
        RecordStep.Write first = write(machine.begin(0));
        WriteResult throttled = new WriteResult(WriteOutcome.NOT_APPLIED, 0, Optional.empty());
        RecordStep.Read read = (RecordStep.Read)
                machine.written(first.sequence(), throttled, 0).get(0);
        machine.read(read.sequence(), Either.right(table.read(KEY)), 0);
        RecordStep.Write second = write(machine.timePassed(machine.wakeNanos()));
        assertHeld(machine.written(second.sequence(), table.apply(second.write()), 0));
    }

    @Test
    void failedReadIsFollowedByAnotherWrite() {
        RecordMachine machine = machine("a", "digest");
        RecordStep.Write first = write(machine.begin(0));
        WriteResult throttled = new WriteResult(WriteOutcome.NOT_APPLIED, 0, Optional.empty());
        RecordStep.Read read = (RecordStep.Read)
                machine.written(first.sequence(), throttled, 0).get(0);
        StoreException failure = new StoreException(StoreException.Kind.UNREACHABLE, "retry later");
        machine.read(read.sequence(), Either.left(failure), 0);
        assertInstanceOf(
                RecordStep.Write.class, machine.timePassed(machine.wakeNanos()).get(0));
    }

    private RecordMachine machine(String attempt, String digest) {
        RecordOwner owner = new RecordOwner(KEY, attempt, digest, new RouterId("router-" + attempt), 1);
        return new RecordMachine(owner, (router, incarnation) -> routersAlive);
    }

    private RecordMachine held(String attempt) {
        RecordMachine machine = machine(attempt, "digest");
        run(machine);
        assertTrue(machine.isHeld());
        return machine;
    }

    private RecordStep outcome(String attempt, String digest) {
        return run(machine(attempt, digest));
    }

    /** Carries out all writes until the machine states an outcome. */
    private RecordStep run(RecordMachine machine) {
        RecordStep step = machine.begin(0).get(0);
        while (step instanceof RecordStep.Write write) {
            step = machine.written(write.sequence(), table.apply(write.write()), 0)
                    .get(0);
        }
        return step;
    }

    private void apply(List<RecordStep> steps) {
        table.apply(write(steps).write());
    }

    private static RecordStep.Write write(List<RecordStep> steps) {
        return (RecordStep.Write) steps.get(0);
    }

    private static void assertHeld(List<RecordStep> steps) {
        assertEquals(List.of(new RecordStep.Held()), steps);
    }

    private static RecordedAnswer answer(int length) {
        return new RecordedAnswer(201, Map.of("content-type", "text/plain: utf-8"), new byte[length]);
    }
}
