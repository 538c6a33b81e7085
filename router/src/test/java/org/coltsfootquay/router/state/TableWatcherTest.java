package org.coltsfootquay.router.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.coltsfootquay.decision.peer.LagMonitor;
import org.coltsfootquay.decision.timer.DrivenTimerService;
import org.junit.jupiter.api.Test;

/** Verifies that copies of the store's tables miss no changes and do not revert to older content. */
final class TableWatcherTest {

    private static final WatchedTable TABLE = WatchedTable.SERVERS;

    /** Time for a new connection to deliver a change. */
    private static final long RECONNECT_NANOS = Duration.ofSeconds(2).toNanos();

    private final DrivenTimerService timers = new DrivenTimerService(0);
    private final FakeTableStore store = new FakeTableStore();
    private final List<String> events = new ArrayList<>();
    private int routerCount = 1;
    private boolean failing;
    private final TableWatcher watcher =
            new TableWatcher(store, timers, new Random(1), new RecordingListener(), () -> routerCount);

    @Test
    void tableIsReadAndThenWatchedFromTheRevisionOfTheRead() {
        watcher.start();
        store.nextCall(TABLE).callback().accept(rows(7, row("a", 3)));
        FakeTableStore.Call watch = store.nextCall(TABLE);
        assertEquals("watch", watch.kind());
        assertEquals(7, watch.afterRevision());
        assertEquals(List.of("replaced [a]"), events);
    }

    @Test
    void changesAreAppliedInOrder() {
        startAtRevision(7);
        store.nextCall(TABLE).callback().accept(rows(9, row("b", 8), deletedRow("a", 9)));
        assertEquals(List.of("replaced [a]", "changed [b, -a] to [b]"), events);
        timers.advance(watcher.changeDelay(TABLE).toNanos());
        assertEquals(9, store.nextCall(TABLE).afterRevision());
    }

    /** In a large fleet, one call per router and change would exceed the capacity of the store and the cost limit. */
    @Test
    void changesDuringTheDelayArriveInOneReply() {
        routerCount = 50;
        startAtRevision(7);
        store.nextCall(TABLE).callback().accept(rows(8, row("b", 8)));
        timers.advance(Duration.ofMillis(999).toNanos());
        assertEquals(0, store.pendingCalls(TABLE));
        timers.advance(Duration.ofSeconds(1).toNanos());
        assertEquals(8, store.nextCall(TABLE).afterRevision());
    }

    @Test
    void maxChangeDelayIsASmallPartOfTheBoundOnChanges() {
        routerCount = 1_000;
        assertEquals(Duration.ofMillis(600), watcher.changeDelay(WatchedTable.OPERATOR));
        assertEquals(Duration.ofMillis(1200), watcher.changeDelay(TABLE));
    }

    @Test
    void ageCountsFromTheTimeThatTheLastReplyStates() {
        watcher.start();
        assertEquals(Optional.empty(), watcher.age(TABLE));
        store.nextCall(TABLE).callback().accept(new StoreReply.Rows(List.of(), 7, OptionalLong.of(40_000)));
        timers.advance(Duration.ofSeconds(5).toNanos());
        store.nextCall(TABLE).callback().accept(new StoreReply.Rows(List.of(), 7, OptionalLong.of(44_000)));
        assertEquals(Optional.of(Duration.ofMillis(1_001)), watcher.age(TABLE));
    }

    @Test
    void ageIsUnknownIfTheStoreStatesNoTime() {
        startAtRevision(7);
        assertEquals(Optional.empty(), watcher.age(TABLE));
    }

    @Test
    void watchWithoutAChangeIsRepeatedImmediately() {
        startAtRevision(7);
        store.nextCall(TABLE).callback().accept(rows(7));
        assertEquals(1, store.pendingCalls(TABLE));
    }

    /** A read before the own registration could miss a router that registers at the same time. */
    @Test
    void routerTableIsReadOnlyOnRequest() {
        watcher.start();
        assertEquals(0, store.pendingCalls(WatchedTable.ROUTERS));
        watcher.startRouterTable();
        assertEquals("read", store.nextCall(WatchedTable.ROUTERS).kind());
    }

    /** The watches of 95 routers must end as often as those of 8 routers, since each end reveals a hidden change. */
    @Test
    void someWatchOfALargeFleetEndsAsSoonAsInASmallFleet() {
        routerCount = 95;
        startAtRevision(7);
        Duration wait = store.nextCall(TABLE).maxWait();
        assertTrue(wait.dividedBy(95).compareTo(Duration.ofSeconds(5).dividedBy(8)) <= 0, "wait " + wait);
        assertTrue(wait.compareTo(Duration.ofSeconds(15)) >= 0, "wait " + wait);
        assertTrue(wait.compareTo(Duration.ofSeconds(30)) <= 0, "wait " + wait);
    }

    @Test
    void watchesOfALargeFleetAreLonger() {
        startAtRevision(7);
        Duration small = store.nextCall(TABLE).maxWait();
        routerCount = 64;
        TableWatcher large = new TableWatcher(store, timers, new Random(1), new RecordingListener(), () -> routerCount);
        large.start();
        store.nextCall(TABLE).callback().accept(rows(7));
        assertTrue(store.nextCall(TABLE).maxWait().compareTo(small) > 0);
    }

    @Test
    void truncatedHistoryCausesAFullRead() {
        startAtRevision(7);
        timers.advance(timers.nowNanos() + Duration.ofSeconds(1).toNanos());
        store.nextCall(TABLE).callback().accept(new StoreReply.HistoryTruncated());
        FakeTableStore.Call read = store.nextCall(TABLE);
        assertEquals("read", read.kind());
        read.callback().accept(rows(20, row("b", 15)));
        assertEquals(List.of("replaced [a]", "replaced [b]"), events);
    }

    /** A watch that continued after a lost connection left out what the store had dropped from its history. */
    @Test
    void tableIsReadAgainAfterADelayWhenAWatchHasFailed() {
        startAtRevision(7);
        store.nextCall(TABLE).callback().accept(new StoreReply.Unavailable("status 503"));
        assertEquals(0, store.pendingCalls(TABLE));
        timers.advance(Duration.ofMillis(100).toNanos());
        FakeTableStore.Call read = store.nextCall(TABLE);
        assertEquals("read", read.kind());
        read.callback().accept(rows(9, row("a", 3), row("b", 8)));
        assertEquals(9, store.nextCall(TABLE).afterRevision());
        assertEquals(List.of("replaced [a]", "replaced [a, b]"), events);
    }

    @Test
    void readWithoutAChangeIsNotReported() {
        startAtRevision(7);
        failCall("closed");
        store.nextCall(TABLE).callback().accept(rows(9, row("a", 3)));
        assertEquals(List.of("replaced [a]"), events);
    }

    /** A long poll hid for up to 30 s that the store answers again; removed servers were kept for all that time. */
    @Test
    void recoveryIsReportedWithTheFirstReadAndNotWithTheNextChange() {
        startAtRevision(7);
        failCall("closed");
        failCall("not_connected");
        store.nextCall(TABLE).callback().accept(rows(7, row("a", 3)));
        assertEquals(List.of("replaced [a]", "lost", "recovered"), events);
        assertEquals("watch", store.nextCall(TABLE).kind());
    }

    /** Two copies of peers in succession made the router believe that the store was lost. */
    @Test
    void connectionsThatTheWatcherClosesItselfAreNotFailures() {
        startAtRevision(7);
        FakeTableStore.Call first = store.nextCall(TABLE);
        watcher.adoptCopy(TABLE, copy(12, row("c", 12)));
        first.callback().accept(new StoreReply.Unavailable("connection_dropped"));
        timers.advance(timers.nowNanos());
        FakeTableStore.Call second = store.nextCall(TABLE);
        assertEquals("read", second.kind());
        watcher.adoptCopy(TABLE, copy(13, row("c", 13)));
        timers.advance(RECONNECT_NANOS);
        assertEquals(List.of(TABLE, TABLE), store.reconnectedWatches);
        second.callback().accept(new StoreReply.Unavailable("connection_dropped"));
        assertEquals(List.of("replaced [a]", "replaced [c]", "replaced [c]"), events);
    }

    /** A store whose reads are older than its history would be read a hundred times a second. */
    @Test
    void readThatIsOlderThanTheHistoryIsRepeatedAfterADelay() {
        startAtRevision(7);
        store.nextCall(TABLE).callback().accept(new StoreReply.HistoryTruncated());
        assertEquals(0, store.pendingCalls(TABLE));
        timers.advance(timers.nowNanos() + Duration.ofMillis(100).toNanos());
        assertEquals("read", store.nextCall(TABLE).kind());
    }

    /** Sixty routers that retry rejected calls ten times per second pay more for them than for all other calls. */
    @Test
    void failedWatchOfALargeFleetIsRetriedAfterALongerDelay() {
        routerCount = 64;
        startAtRevision(7);
        store.nextCall(TABLE).callback().accept(new StoreReply.Unavailable("status 503"));
        timers.advance(Duration.ofMillis(799).toNanos());
        assertEquals(0, store.pendingCalls(TABLE));
        timers.advance(Duration.ofMillis(800).toNanos());
        assertEquals(1, store.pendingCalls(TABLE));
    }

    @Test
    void lossAndRecoveryOfTheStoreAreReportedOnceEach() {
        startAtRevision(7);
        for (int i = 0; i < 4; i++) {
            store.nextCall(TABLE).callback().accept(new StoreReply.Unavailable("status 503"));
            timers.advance(timers.nowNanos() + Duration.ofSeconds(1).toNanos());
        }
        store.nextCall(TABLE).callback().accept(rows(7, row("a", 3)));
        assertEquals(List.of("replaced [a]", "lost", "recovered"), events);
    }

    @Test
    void newerCopyOfAPeerIsAdopted() {
        startAtRevision(7);
        assertTrue(watcher.adoptCopy(TABLE, copy(12, row("c", 12))));
        assertEquals(List.of("replaced [a]", "replaced [c]"), events);
        assertEquals(List.of(TABLE), store.reconnectedWatches);
    }

    /** A router with a dead watch waited for it before each copy of a peer. */
    @Test
    void watchThatDidNotDeliverAChangeIsGivenNoTimeForTheNextOne() {
        startAtRevision(7);
        assertEquals(watcher.changeDelay(TABLE).plus(LagMonitor.GRACE_PERIOD), watcher.deliveryTime(TABLE));
        watcher.adoptCopy(TABLE, copy(12, row("c", 12)));
        assertEquals(Duration.ZERO, watcher.deliveryTime(TABLE));
    }

    @Test
    void readDoesNotProveThatAWatchDeliversChanges() {
        startAtRevision(7);
        FakeTableStore.Call watch = store.nextCall(TABLE);
        watcher.adoptCopy(TABLE, copy(12, row("c", 12)));
        watch.callback().accept(new StoreReply.Unavailable("connection_dropped"));
        timers.advance(timers.nowNanos());
        store.nextCall(TABLE).callback().accept(rows(12, row("c", 12)));
        assertEquals(Duration.ZERO, watcher.deliveryTime(TABLE));
    }

    @Test
    void watchThatCompletesIsGivenTimeForTheNextChange() {
        startAtRevision(7);
        watcher.adoptCopy(TABLE, copy(12, row("c", 12)));
        store.nextCall(TABLE).callback().accept(rows(12, row("c", 12)));
        assertEquals(watcher.changeDelay(TABLE).plus(LagMonitor.GRACE_PERIOD), watcher.deliveryTime(TABLE));
    }

    /** A watch whose connection each copy of a peer closes cannot deliver anything. */
    @Test
    void laterCopiesReplaceTheConnectionAfterADelayOnly() {
        startAtRevision(7);
        watcher.adoptCopy(TABLE, copy(12, row("c", 12)));
        watcher.adoptCopy(TABLE, copy(13, row("c", 13)));
        watcher.adoptCopy(TABLE, copy(14, row("c", 14)));
        timers.advance(RECONNECT_NANOS - 1);
        assertEquals(List.of(TABLE), store.reconnectedWatches);
        timers.advance(RECONNECT_NANOS);
        assertEquals(List.of(TABLE, TABLE), store.reconnectedWatches);
    }

    @Test
    void connectionThatDeliversAgainIsNotReplaced() {
        startAtRevision(7);
        watcher.adoptCopy(TABLE, copy(12, row("c", 12)));
        watcher.adoptCopy(TABLE, copy(13, row("c", 13)));
        store.nextCall(TABLE).callback().accept(rows(13, row("c", 13)));
        timers.advance(RECONNECT_NANOS);
        assertEquals(List.of(TABLE), store.reconnectedWatches);
    }

    @Test
    void olderCopyOfAPeerIsNotAdopted() {
        startAtRevision(7);
        assertFalse(watcher.adoptCopy(TABLE, copy(6, row("c", 5))));
        assertEquals(List.of("replaced [a]"), events);
    }

    /** A watch that was sent before a peer's copy arrived may still receive a reply. */
    @Test
    void lateReplyDoesNotRevertAPeersCopy() {
        startAtRevision(7);
        FakeTableStore.Call late = store.nextCall(TABLE);
        watcher.adoptCopy(TABLE, copy(12, row("c", 12)));
        late.callback().accept(rows(10, row("b", 10)));
        assertEquals(List.of("replaced [a]", "replaced [c]"), events);
        assertEquals(12, watcher.mirror(TABLE).state().revision());
    }

    /**
     * While the store drops its history, a watch may end without a change that was made during it. The router then kept
     * the old configuration until the next change, since it regarded its copy as complete.
     */
    @Test
    void changeThatAWatchLeftOutIsAdoptedFromAPeer() {
        startAtRevision(7);
        store.nextCall(TABLE).callback().accept(rows(12));
        assertTrue(watcher.adoptCopy(TABLE, copy(10, row("a", 3), row("c", 10))));
        assertEquals(List.of("replaced [a]", "replaced [a, c]"), events);
    }

    /** A read that was older than its revision hid the newer row of a peer until the next change. */
    @Test
    void newerRowOfAPeerIsAdoptedAlthoughTheReadHadAHigherRevision() {
        startAtRevision(7);
        assertTrue(watcher.adoptCopy(TABLE, copy(6, row("a", 6))));
        assertEquals(List.of("replaced [a]", "replaced [a]"), events);
        assertEquals(
                List.of(6L),
                watcher.mirror(TABLE).rows().stream().map(TableRow::revision).toList());
    }

    @Test
    void copyWithoutANewerRowDoesNotReconnectTheWatch() {
        startAtRevision(7);
        assertFalse(watcher.adoptCopy(TABLE, copy(6, row("a", 3), row("b", 5))));
        assertEquals(List.of(), store.reconnectedWatches);
        assertFalse(watcher.adoptCopy(TABLE, copy(7, row("a", 3))));
    }

    @Test
    void watchWithoutAChangeContinuesAtTheRevisionOfItsReply() {
        startAtRevision(7);
        store.nextCall(TABLE).callback().accept(rows(12));
        assertEquals(12, store.nextCall(TABLE).afterRevision());
        assertEquals(7, watcher.mirror(TABLE).readRevision());
    }

    @Test
    void readWithARowOlderThanTheCopyIsIgnored() {
        startAtRevision(7);
        store.nextCall(TABLE).callback().accept(rows(9, row("a", 9)));
        timers.advance(Duration.ofSeconds(1).toNanos());
        store.nextCall(TABLE).callback().accept(new StoreReply.HistoryTruncated());
        store.nextCall(TABLE).callback().accept(rows(20, row("a", 3)));
        assertEquals(List.of("replaced [a]", "changed [a] to [a]"), events);
        assertEquals(0, store.pendingCalls(TABLE));
        timers.advance(timers.nowNanos() + Duration.ofMillis(100).toNanos());
        assertEquals(9, store.nextCall(TABLE).afterRevision());
    }

    /** One row that could not be applied ended the watch, and with it all later changes. */
    @Test
    void failureOfTheListenerDoesNotEndTheWatch() {
        startAtRevision(7);
        failing = true;
        store.nextCall(TABLE).callback().accept(rows(9, row("b", 9)));
        timers.advance(watcher.changeDelay(TABLE).toNanos());
        assertEquals(9, store.nextCall(TABLE).afterRevision());
    }

    private void failCall(String reason) {
        store.nextCall(TABLE).callback().accept(new StoreReply.Unavailable(reason));
        timers.advance(timers.nowNanos() + Duration.ofSeconds(1).toNanos());
    }

    private void startAtRevision(long revision) {
        watcher.start();
        store.nextCall(TABLE).callback().accept(rows(revision, row("a", 3)));
    }

    /** Returns the copy of a peer that has read the table at a revision. */
    private static TableSnapshot copy(long revision, TableRow... rows) {
        return new TableSnapshot(List.of(rows), revision, revision);
    }

    private static StoreReply rows(long revision, TableRow... rows) {
        return new StoreReply.Rows(List.of(rows), revision);
    }

    private static TableRow row(String key, long revision) {
        return new TableRow(key, new byte[0], revision, false);
    }

    private static TableRow deletedRow(String key, long revision) {
        return new TableRow(key, new byte[0], revision, true);
    }

    private final class RecordingListener implements TableListener {

        @Override
        public void tableReplaced(WatchedTable table, Collection<TableRow> rows) {
            events.add("replaced " + rows.stream().map(TableRow::key).toList());
        }

        @Override
        public void rowsChanged(WatchedTable table, List<TableRow> changes, Collection<TableRow> rows) {
            if (failing) {
                throw new IllegalStateException("row cannot be applied");
            }
            events.add("changed "
                    + changes.stream()
                            .map(row -> (row.deleted() ? "-" : "") + row.key())
                            .toList()
                    + " to " + rows.stream().map(TableRow::key).toList());
        }

        @Override
        public void storeLost() {
            events.add("lost");
        }

        @Override
        public void storeRecovered() {
            events.add("recovered");
        }
    }
}
