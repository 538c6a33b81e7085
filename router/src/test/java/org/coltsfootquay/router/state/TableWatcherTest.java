package org.coltsfootquay.router.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import org.coltsfootquay.decision.timer.DrivenTimerService;
import org.junit.jupiter.api.Test;

/** Guards against copies of the store's tables that miss changes or go back to older content. */
final class TableWatcherTest {

    private static final WatchedTable TABLE = WatchedTable.SERVERS;

    private final DrivenTimerService timers = new DrivenTimerService(0);
    private final FakeTableStore store = new FakeTableStore();
    private final List<String> heard = new ArrayList<>();
    private int routers = 1;
    private final TableWatcher watcher = new TableWatcher(store, timers, new Random(1), new Recorder(), () -> routers);

    @Test
    void tableIsReadAndThenWatchedFromTheRevisionOfTheRead() {
        watcher.start();
        store.nextCall(TABLE).done().accept(rows(7, row("a", 3)));
        FakeTableStore.Call watch = store.nextCall(TABLE);
        assertEquals("watch", watch.kind());
        assertEquals(7, watch.afterRevision());
        assertEquals(List.of("replaced [a]"), heard);
    }

    @Test
    void changesAreAppliedInOrder() {
        startedAt(7);
        store.nextCall(TABLE).done().accept(rows(9, row("b", 8), gone("a", 9)));
        assertEquals(List.of("replaced [a]", "changed [b, -a] to [b]"), heard);
        timers.advance(watcher.changeDelay(TABLE).toNanos());
        assertEquals(9, store.nextCall(TABLE).afterRevision());
    }

    /** In a large fleet the calls for each change exceed what the store takes and what their price allows. */
    @Test
    void changesOfAPauseComeInOneAnswer() {
        routers = 50;
        startedAt(7);
        store.nextCall(TABLE).done().accept(rows(8, row("b", 8)));
        timers.advance(Duration.ofMillis(999).toNanos());
        assertEquals(0, store.pendingCalls(TABLE));
        timers.advance(Duration.ofSeconds(1).toNanos());
        assertEquals(8, store.nextCall(TABLE).afterRevision());
    }

    @Test
    void pauseStaysASmallPartOfTheBoundOnChanges() {
        routers = 1_000;
        assertEquals(Duration.ofMillis(600), watcher.changeDelay(WatchedTable.OPERATOR));
        assertEquals(Duration.ofMillis(1200), watcher.changeDelay(TABLE));
    }

    @Test
    void watchWithoutAChangeIsRepeatedAtOnce() {
        startedAt(7);
        store.nextCall(TABLE).done().accept(rows(7));
        assertEquals(1, store.pendingCalls(TABLE));
    }

    /** A read before the registration can miss a router that registers at the same moment. */
    @Test
    void routersAreReadOnlyOnRequest() {
        watcher.start();
        assertEquals(0, store.pendingCalls(WatchedTable.ROUTERS));
        watcher.startRouterTable();
        assertEquals("read", store.nextCall(WatchedTable.ROUTERS).kind());
    }

    @Test
    void watchesOfALargeFleetAreLonger() {
        startedAt(7);
        Duration small = store.nextCall(TABLE).longest();
        routers = 64;
        TableWatcher large = new TableWatcher(store, timers, new Random(1), new Recorder(), () -> routers);
        large.start();
        store.nextCall(TABLE).done().accept(rows(7));
        assertTrue(store.nextCall(TABLE).longest().compareTo(small) > 0);
    }

    @Test
    void droppedHistoryLeadsToAFullRead() {
        startedAt(7);
        store.nextCall(TABLE).done().accept(new StoreReply.HistoryTruncated());
        FakeTableStore.Call read = store.nextCall(TABLE);
        assertEquals("read", read.kind());
        read.done().accept(rows(20, row("b", 15)));
        assertEquals(List.of("replaced [a]", "replaced [b]"), heard);
    }

    @Test
    void failedWatchIsRepeatedAfterAPause() {
        startedAt(7);
        store.nextCall(TABLE).done().accept(new StoreReply.Unavailable("status 503"));
        assertEquals(0, store.pendingCalls(TABLE));
        timers.advance(Duration.ofMillis(100).toNanos());
        assertEquals(7, store.nextCall(TABLE).afterRevision());
    }

    /** Sixty routers that repeat refused calls ten times a second pay more for them than for all others. */
    @Test
    void failedWatchOfALargeFleetIsRepeatedAfterALongerPause() {
        routers = 64;
        startedAt(7);
        store.nextCall(TABLE).done().accept(new StoreReply.Unavailable("status 503"));
        timers.advance(Duration.ofMillis(799).toNanos());
        assertEquals(0, store.pendingCalls(TABLE));
        timers.advance(Duration.ofMillis(800).toNanos());
        assertEquals(1, store.pendingCalls(TABLE));
    }

    @Test
    void lossAndReturnOfTheStoreAreHeardOnceEach() {
        startedAt(7);
        for (int i = 0; i < 4; i++) {
            store.nextCall(TABLE).done().accept(new StoreReply.Unavailable("status 503"));
            timers.advance(timers.nowNanos() + Duration.ofSeconds(1).toNanos());
        }
        store.nextCall(TABLE).done().accept(rows(7));
        assertEquals(List.of("replaced [a]", "lost", "regained"), heard);
    }

    @Test
    void newerCopyOfAPeerIsTaken() {
        startedAt(7);
        assertTrue(watcher.adoptCopy(TABLE, List.of(row("c", 12)), 12, 12));
        assertEquals(List.of("replaced [a]", "replaced [c]"), heard);
        assertEquals(List.of(TABLE), store.reconnectedWatches);
    }

    @Test
    void olderCopyOfAPeerIsNotTaken() {
        startedAt(7);
        assertFalse(watcher.adoptCopy(TABLE, List.of(row("c", 5)), 6, 5));
        assertEquals(List.of("replaced [a]"), heard);
    }

    /** A watch that was sent before a peer's copy arrived may still be answered. */
    @Test
    void lateAnswerDoesNotUndoAPeersCopy() {
        startedAt(7);
        FakeTableStore.Call late = store.nextCall(TABLE);
        watcher.adoptCopy(TABLE, List.of(row("c", 12)), 12, 12);
        late.done().accept(rows(10, row("b", 10)));
        assertEquals(List.of("replaced [a]", "replaced [c]"), heard);
        assertEquals(12, watcher.mirror(TABLE).revision());
    }

    private void startedAt(long revision) {
        watcher.start();
        store.nextCall(TABLE).done().accept(rows(revision, row("a", 3)));
    }

    private static StoreReply rows(long revision, TableRow... rows) {
        return new StoreReply.Rows(List.of(rows), revision);
    }

    private static TableRow row(String key, long revision) {
        return new TableRow(key, new byte[0], revision, false);
    }

    private static TableRow gone(String key, long revision) {
        return new TableRow(key, new byte[0], revision, true);
    }

    private final class Recorder implements TableListener {

        @Override
        public void tableReplaced(WatchedTable table, Collection<TableRow> rows) {
            heard.add("replaced " + rows.stream().map(TableRow::key).toList());
        }

        @Override
        public void rowsChanged(WatchedTable table, List<TableRow> changes, Collection<TableRow> rows) {
            heard.add("changed "
                    + changes.stream()
                            .map(row -> (row.deleted() ? "-" : "") + row.key())
                            .toList()
                    + " to " + rows.stream().map(TableRow::key).toList());
        }

        @Override
        public void storeLost() {
            heard.add("lost");
        }

        @Override
        public void storeRecovered() {
            heard.add("regained");
        }
    }
}
