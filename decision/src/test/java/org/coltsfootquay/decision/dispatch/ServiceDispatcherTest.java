package org.coltsfootquay.decision.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.fairness.WorkspaceUsage;
import org.junit.jupiter.api.Test;

/** Guards against grants above a server's limit, leaked slots and replies to superseded attempts. */
final class ServiceDispatcherTest {

    private final DispatchFixture fixture = new DispatchFixture(PolicyName.FIFO);

    @Test
    void grantsNoMoreThanTheLimit() {
        fixture.ownServer("s1", 2);
        fixture.submit("a", "w", 100);
        fixture.submit("b", "w", 100);
        DispatchFixture.onlyAction(fixture.submit("c", "w", 100), DispatchAction.Queued.class);
        assertEquals(List.of("a", "b"), fixture.granted());
        fixture.start("a");
        fixture.complete("a", 100, 1_000);
        assertEquals(List.of("a", "b", "c"), fixture.granted());
    }

    @Test
    void grantsNothingOnServerThatDoesNotAdmitWork() {
        fixture.handle(new DispatchEvent.ServersChanged(List.of(DispatchFixture.server("s1", 1, false, false))));
        fixture.setLimit("s1", 4);
        DispatchAction.Refused refused =
                DispatchFixture.onlyAction(fixture.submit("a", "w", 100), DispatchAction.Refused.class);
        assertEquals(RefusalCode.NOT_OWNER, refused.code());
        assertTrue(fixture.granted().isEmpty());
    }

    @Test
    void refusesWaitingRequestsWhenLastServerStopsAdmittingWork() {
        fixture.ownServer("s1", 1);
        fixture.submit("a", "w", 100);
        fixture.submit("b", "w", 100);
        List<DispatchAction> actions = fixture.handle(
                new DispatchEvent.ServersChanged(List.of(DispatchFixture.server("s1", 1, false, false))));
        assertEquals(
                DispatchFixture.attempt("b"),
                DispatchFixture.onlyAction(actions, DispatchAction.Refused.class)
                        .attempt());
    }

    @Test
    void revokesGrantWhoseSendDoesNotStart() {
        fixture.ownServer("s1", 1);
        fixture.submit("a", "w", 100);
        fixture.submit("b", "w", 100);
        fixture.advance(Duration.ofMillis(700));
        assertEquals(List.of("a"), fixture.granted());
        fixture.advance(Duration.ofMillis(60));
        assertEquals(List.of("a", "b"), fixture.granted());
    }

    @Test
    void countsSendThatWasReportedAfterItsGrantLapsed() {
        fixture.ownServer("s1", 1);
        fixture.submit("a", "w", 100);
        fixture.advance(Duration.ofMillis(800));
        fixture.start("a");
        fixture.submit("b", "w", 100);
        assertEquals(List.of("a"), fixture.granted());
    }

    @Test
    void keepsSlotOfStartedRequestUntilItEnds() {
        fixture.ownServer("s1", 1);
        fixture.submit("a", "w", 100);
        fixture.start("a");
        fixture.submit("b", "w", 100);
        fixture.advance(Duration.ofMinutes(2));
        assertEquals(List.of("a"), fixture.granted());
    }

    @Test
    void dividesLimitBetweenLapsedHolderAndClaimant() {
        fixture.ownServer("s1", 5);
        fixture.handle(new DispatchEvent.ServersChanged(List.of(DispatchFixture.server("s1", 0.5, true, false))));
        for (int i = 0; i < 6; i++) {
            fixture.submit("a" + i, "w", 100);
        }
        assertEquals(2, fixture.granted().size());
    }

    @Test
    void limitDoesNotGrowWhileOnlyPartOfItMayBeUsed() {
        fixture.ownServer("s1", 8);
        fixture.handle(new DispatchEvent.ServersChanged(List.of(DispatchFixture.server("s1", 0.5, true, false))));
        for (int i = 0; i < 20; i++) {
            fixture.submit("a" + i, "w", 100);
        }
        for (int second = 0; second < 10; second++) {
            fixture.handle(new DispatchEvent.Progressed(DispatchFixture.attempt("a0"), 10, 20));
            fixture.handle(new DispatchEvent.Progressed(DispatchFixture.attempt("a1"), 10, 20));
            fixture.handle(new DispatchEvent.Progressed(DispatchFixture.attempt("a2"), 10, 20));
            fixture.handle(new DispatchEvent.Progressed(DispatchFixture.attempt("a3"), 10, 20));
            fixture.advance(Duration.ofSeconds(1));
        }
        assertEquals(4, fixture.dispatcher.servers().get(0).capacity());
    }

    @Test
    void repeatsGrantForRepeatedSubmission() {
        fixture.ownServer("s1", 2);
        fixture.submit("a", "w", 100);
        List<DispatchAction> repeated = fixture.submit("a", "w", 100);
        DispatchFixture.onlyAction(repeated, DispatchAction.Granted.class);
        fixture.submit("b", "w", 100);
        DispatchFixture.onlyAction(fixture.submit("c", "w", 100), DispatchAction.Queued.class);
    }

    @Test
    void ignoresMessagesAboutAnotherAttempt() {
        fixture.ownServer("s1", 1);
        fixture.submit("a", "w", 100);
        fixture.submit("b", "w", 100);
        fixture.handle(new DispatchEvent.Withdrawn(new RequestAttempt(new RequestId("b"), 2)));
        fixture.handle(new DispatchEvent.Withdrawn(new RequestAttempt(new RequestId("a"), 2)));
        fixture.complete("b", 100, 10);
        fixture.start("a");
        fixture.complete("a", 100, 10);
        assertEquals(List.of("a", "b"), fixture.granted());
    }

    @Test
    void newerAttemptReplacesWaitingOne() {
        fixture.ownServer("s1", 1);
        fixture.submit("a", "w", 100);
        fixture.submit("b", "w", 100);
        RequestAttempt second = new RequestAttempt(new RequestId("b"), 2);
        fixture.handle(
                new DispatchEvent.Submitted(fixture.request(second, "w", 100, Duration.ofSeconds(10), Set.of())));
        fixture.submit("b", "w", 100);
        assertEquals(1, fixture.dispatcher.load(fixture.nowNanos).queueLength());
        List<DispatchAction> actions = fixture.complete("a", 100, 10);
        assertEquals(
                second,
                DispatchFixture.onlyAction(actions, DispatchAction.Granted.class)
                        .attempt());
    }

    @Test
    void skipsRequestThatExcludesTheOnlyFreeServer() {
        fixture.handle(new DispatchEvent.ServersChanged(
                List.of(DispatchFixture.server("s1", 1, true, false), DispatchFixture.server("s2", 1, true, false))));
        fixture.submit("a", "w", 100);
        fixture.submit("b", "w", 100);
        String busy = fixture.actions.stream()
                .filter(action -> action.attempt().equals(DispatchFixture.attempt("b")))
                .map(action -> ((DispatchAction.Granted) action).server().name().value())
                .findFirst()
                .orElseThrow();
        String free = busy.equals("s1") ? "s2" : "s1";
        fixture.handle(new DispatchEvent.Submitted(fixture.request(
                DispatchFixture.attempt("c"), "w", 100, Duration.ofSeconds(10), Set.of(new ServerName(free)))));
        fixture.submit("d", "w", 100);
        fixture.handle(new DispatchEvent.Withdrawn(DispatchFixture.attempt("a")));
        assertEquals(List.of("a", "b", "d"), fixture.granted());
        fixture.handle(new DispatchEvent.Withdrawn(DispatchFixture.attempt("b")));
        assertEquals(List.of("a", "b", "d", "c"), fixture.granted());
    }

    @Test
    void boundsQueueOfFloodingWorkspaceOnly() {
        fixture.ownServer("s1", 1);
        for (int i = 0; i < 70; i++) {
            fixture.submit("f" + i, "flood", 100);
        }
        long full = fixture.actions.stream()
                .filter(action -> action instanceof DispatchAction.Refused refused
                        && refused.code() == RefusalCode.WORKSPACE_QUEUE_FULL)
                .count();
        assertEquals(5, full);
        DispatchFixture.onlyAction(fixture.submit("a", "other", 100), DispatchAction.Queued.class);
    }

    @Test
    void dropsWaitingRequestsOfLostEntryRouterAndFreesItsSlotsLater() {
        fixture.ownServer("s1", 1);
        fixture.submit("a", "w", 100);
        fixture.start("a");
        fixture.submit("b", "w", 100);
        fixture.handle(new DispatchEvent.EntryRouterLost(DispatchFixture.ENTRY_ROUTER));
        assertEquals(0, fixture.dispatcher.load(fixture.nowNanos).queueLength());
        assertEquals(0, fixture.dispatcher.load(fixture.nowNanos).freeSlots());
        fixture.advance(Duration.ofSeconds(31));
        assertEquals(1, fixture.dispatcher.load(fixture.nowNanos).freeSlots());
    }

    @Test
    void redirectsToIdleOwner() {
        fixture.ownServer("s1", 1);
        fixture.submit("a", "w", 100);
        fixture.submit("b", "w", 100);
        fixture.submit("c", "w", 100);
        RouterId idle = new RouterId("r9");
        List<DispatchAction> actions = fixture.handle(new DispatchEvent.IdleOwnerFound(idle, 1));
        DispatchAction.Redirected redirected = DispatchFixture.onlyAction(actions, DispatchAction.Redirected.class);
        assertEquals(idle, redirected.owner());
        assertEquals(DispatchFixture.attempt("b"), redirected.attempt());
    }

    @Test
    void countsRequestsInFlightOfPreviousOwner() {
        fixture.ownServer("s1", 2);
        fixture.handle(new DispatchEvent.InFlightReported(
                new ServerName("s1"),
                List.of(new InFlightEntry(
                        DispatchFixture.attempt("old"),
                        DispatchFixture.ENTRY_ROUTER,
                        new WorkspaceId("previous"),
                        DispatchFixture.CLASS,
                        40))));
        fixture.submit("a", "w", 100);
        fixture.submit("b", "w", 100);
        assertEquals(List.of("a"), fixture.granted());
        fixture.complete("old", 90, 1_000);
        assertTrue(fixture.dispatcher
                .drainUsage()
                .contains(new WorkspaceUsage(new WorkspaceId("previous"), DispatchFixture.SERVICE, 50, false)));
        assertEquals(List.of("a", "b"), fixture.granted());
    }

    @Test
    void refusesNewRequestsAfterShutdownStarted() {
        fixture.ownServer("s1", 1);
        fixture.submit("a", "w", 100);
        fixture.submit("b", "w", 100);
        List<DispatchAction> actions = fixture.handle(new DispatchEvent.ShutdownStarted());
        assertEquals(
                RefusalCode.STOPPING,
                DispatchFixture.onlyAction(actions, DispatchAction.Refused.class)
                        .code());
        DispatchFixture.onlyAction(fixture.submit("c", "w", 100), DispatchAction.Refused.class);
    }
}
