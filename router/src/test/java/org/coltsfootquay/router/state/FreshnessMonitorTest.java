package org.coltsfootquay.router.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.coltsfootquay.decision.freshness.ChangeTimes;
import org.coltsfootquay.decision.peer.TableState;
import org.coltsfootquay.decision.timer.DrivenTimerService;
import org.coltsfootquay.router.metrics.RouterMetrics;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that are routed by a table of which the router does not know how old it is. */
final class FreshnessMonitorTest {

    private static final WatchedTable TABLE = WatchedTable.OPERATOR;
    private static final Duration CHANGE_TIME = Duration.ofSeconds(4);
    private static final Duration TICK = Duration.ofMillis(50);
    private static final int LAST_POSITION = 1000;
    private static final long STORE_OFFSET_MILLIS = 1_000_000;

    private final DrivenTimerService timers = new DrivenTimerService(0);
    private final FakeTableStore store = new FakeTableStore();
    private final List<String> events = new ArrayList<>();
    private final TableWatcher watcher =
            new TableWatcher(store, timers, new Random(1), new RecordingListener(), () -> 100);
    private FakeTableStore.Call watch;
    private FakeTableStore.Call serversWatch;
    private int position = LAST_POSITION;
    private final FreshnessMonitor monitor = new FreshnessMonitor(
            watcher,
            timers,
            new ChangeTimes(CHANGE_TIME, Duration.ofHours(1)),
            confirmedMillis -> position,
            new RouterMetrics());

    @BeforeEach
    void readTables() {
        watcher.start();
        monitor.start();
        store.nextCall(TABLE).callback().accept(rows(7, row("config", 7)));
        store.nextCall(WatchedTable.SERVERS).callback().accept(rows(7));
        serversWatch = store.nextCall(WatchedTable.SERVERS);
        watch = store.nextCall(TABLE);
        events.clear();
    }

    @Test
    void requestIsRoutedAtOnceWhileTheTableIsCurrent() {
        advance(Duration.ofSeconds(3));
        route();
        assertEquals(List.of("routed"), events);
    }

    @Test
    void requestWaitsUntilATableThatIsTooOldWasChecked() {
        advance(CHANGE_TIME);
        route();
        assertEquals(List.of(), events);
        FakeTableStore.Call check = store.nextCall(TABLE);
        assertEquals("check", check.kind());
        assertEquals(7, check.afterRevision());
        check.callback().accept(rows(7));
        assertEquals(List.of("routed"), events);
    }

    /** The first requests after a pause of the process were routed by the configuration from before the pause. */
    @Test
    void changeOfACheckIsAppliedBeforeTheRequestsThatWaitForIt() {
        advance(CHANGE_TIME);
        route();
        route();
        store.nextCall(TABLE).callback().accept(rows(9, row("config", 9)));
        assertEquals(List.of("changed to 9", "routed", "routed"), events);
    }

    @Test
    void requestsThatWaitShareOneCheck() {
        advance(CHANGE_TIME);
        route();
        route();
        assertEquals(1, store.pendingCalls(TABLE));
    }

    @Test
    void requestIsRoutedAfterALimitedTimeIfTheStoreDoesNotReply() {
        advance(CHANGE_TIME);
        route();
        advance(Duration.ofMillis(500));
        assertEquals(List.of("routed"), events);
    }

    @Test
    void checkThatTakesLongDelaysNoFurtherRequests() {
        advance(CHANGE_TIME);
        route();
        advance(Duration.ofMillis(600));
        route();
        assertEquals(List.of("routed", "routed"), events);
    }

    @Test
    void requestIsRoutedWhenAllAttemptsFail() {
        advance(CHANGE_TIME);
        route();
        failAttempts(2);
        assertEquals(List.of(), events);
        failAttempts(1);
        assertEquals(List.of("routed"), events);
    }

    /** A connection that the store has closed, or a rate limit, released all requests that waited. */
    @Test
    void requestWaitsForTheNextAttemptIfOneFails() {
        advance(CHANGE_TIME);
        route();
        failAttempts(1);
        store.nextCall(TABLE).callback().accept(rows(9, row("config", 9)));
        assertEquals(List.of("changed to 9", "routed"), events);
    }

    /** The kept connection of checks had gone silent together with that of the watch. */
    @Test
    void firstAttemptFailsEarlyEnoughForAnotherOneWhileRequestsWait() {
        advance(CHANGE_TIME);
        route();
        assertEquals(Duration.ofMillis(250), store.nextCall(TABLE).maxWait());
    }

    @Test
    void checksThatFailAreRepeatedWithGrowingDelays() {
        advance(CHANGE_TIME);
        List<Long> seconds = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            route();
            Duration left = Duration.ofSeconds(1);
            if (store.pendingCalls(TABLE) > 0) {
                seconds.add((long) i);
                failAttempts(3);
                left = left.minus(TICK.multipliedBy(3));
            }
            advance(left);
        }
        assertEquals(List.of(0L, 2L, 5L, 10L, 19L, 28L, 37L), seconds);
    }

    @Test
    void checkIsRepeatedAtOnceAfterTheStoreHasRepliedToAnotherCall() {
        advance(CHANGE_TIME);
        route();
        failAttempts(3);
        advance(TICK);
        serversWatch.callback().accept(rows(7));
        route();
        assertEquals(1, store.pendingCalls(TABLE));
    }

    /** After a pause, waiting requests were read before the reply to a check from before the pause. */
    @Test
    void pauseOfTheProcessDoesNotCountAsTimeOfACheck() {
        advance(CHANGE_TIME);
        route();
        timers.advance(timers.nowNanos() + Duration.ofSeconds(9).toNanos());
        route();
        assertEquals(List.of(), events);
    }

    @Test
    void checkIsRepeatedIfItsReplyIsTooOldWhenItIsRead() {
        advance(CHANGE_TIME);
        route();
        StoreReply reply = rows(7);
        timers.advance(timers.nowNanos() + Duration.ofSeconds(9).toNanos());
        store.nextCall(TABLE).callback().accept(reply);
        assertEquals(List.of(), events);
        advance(TICK);
        store.nextCall(TABLE).callback().accept(rows(9, row("config", 9)));
        assertEquals(List.of("changed to 9", "routed"), events);
    }

    @Test
    void copyOfAPeerEndsTheWait() {
        advance(CHANGE_TIME);
        route();
        watcher.adoptCopy(TABLE, new TableSnapshot(List.of(row("config", 9)), 7, 9, OptionalLong.of(storeMillis())));
        assertEquals(List.of("replaced with 9", "routed"), events);
    }

    @Test
    void equalTableOfAPeerConfirmsTheOwnOne() {
        advance(Duration.ofSeconds(3));
        watcher.peerConfirmed(TABLE, watcher.mirror(TABLE).state(), storeMillis());
        advance(Duration.ofSeconds(3));
        route();
        assertEquals(List.of("routed"), events);
    }

    @Test
    void differentTableOfAPeerConfirmsNothing() {
        advance(Duration.ofSeconds(3));
        watcher.peerConfirmed(TABLE, new TableState(9, 12_345), storeMillis());
        advance(Duration.ofSeconds(1));
        route();
        assertEquals(List.of(), events);
    }

    /** The clock of a suspended VM stops, so that its tables seemed to be young after the suspension. */
    @Test
    void timeInTheFutureCausesACheck() {
        watcher.peerConfirmed(TABLE, watcher.mirror(TABLE).state(), storeMillis() + 60_000);
        route();
        assertEquals(List.of(), events);
        assertEquals("check", store.nextCall(TABLE).kind());
    }

    @Test
    void tableIsCheckedAfterTheClockOfTheStoreWasReset() {
        advance(Duration.ofSeconds(1));
        serversWatch.callback().accept(new StoreReply.Rows(List.of(), 7, OptionalLong.of(5)));
        route();
        assertEquals(List.of(), events);
        assertEquals("check", store.nextCall(TABLE).kind());
    }

    @Test
    void peerThatKnowsNoTimeConfirmsNothing() {
        TableWatcher unread = new TableWatcher(store, timers, new Random(1), new RecordingListener(), () -> 100);
        unread.start();
        store.nextCall(TABLE).callback().accept(rows(7));
        unread.peerConfirmed(WatchedTable.SERVERS, new TableState(0, 0), 0);
        assertEquals(Optional.empty(), unread.age(WatchedTable.SERVERS));
    }

    @Test
    void firstRouterChecksATableThatNoReplyHasConfirmedForAWhile() {
        position = 0;
        advance(Duration.ofMillis(2_350));
        assertEquals(0, store.pendingCalls(TABLE));
        advance(Duration.ofMillis(150));
        assertEquals("check", store.nextCall(TABLE).kind());
    }

    @Test
    void nextRouterChecksATableThatTheFirstDoesNotConfirm() {
        position = 2;
        advance(Duration.ofMillis(2_650));
        assertEquals(0, store.pendingCalls(TABLE));
        advance(Duration.ofMillis(150));
        assertEquals("check", store.nextCall(TABLE).kind());
    }

    @Test
    void peersAreToldOfACheck() {
        monitor.setCheckedListener(() -> events.add("told"));
        advance(CHANGE_TIME);
        route();
        store.nextCall(TABLE).callback().accept(rows(7));
        assertEquals(List.of("routed", "told"), events);
    }

    /** Each further check closed the connection of the read, so that the request waited for ever. */
    @Test
    void tableIsReadOnceIfTheHistorySinceTheLastReplyIsGone() {
        advance(CHANGE_TIME);
        route();
        store.nextCall(TABLE).callback().accept(new StoreReply.HistoryTruncated());
        assertEquals(List.of(TABLE), store.reconnectedWatches);
        watch.callback().accept(new StoreReply.Unavailable("connection_dropped"));
        advance(TICK);
        route();
        assertEquals(1, store.pendingCalls(TABLE));
        FakeTableStore.Call read = store.nextCall(TABLE);
        assertEquals("read", read.kind());
        read.callback().accept(rows(9, row("config", 9)));
        assertEquals(List.of("replaced with 9", "routed", "routed"), events);
        assertEquals(List.of(TABLE), store.reconnectedWatches);
    }

    @Test
    void tableIsReadAtOnceIfItsHistoryIsGoneWhileNoWatchIsOpen() {
        watch.callback().accept(rows(8, row("config", 8)));
        watcher.check(TABLE, CHANGE_TIME, answered -> events.add("answered " + answered));
        store.nextCall(TABLE).callback().accept(new StoreReply.HistoryTruncated());
        store.nextCall(TABLE).callback().accept(rows(9, row("config", 9)));
        assertEquals(List.of("changed to 8", "replaced with 9", "answered true"), events);
    }

    /** A watch on a dead connection would deliver nothing until its maximum time. */
    @Test
    void watchThatDoesNotDeliverTheChangeOfACheckIsRepeated() {
        advance(CHANGE_TIME);
        route();
        store.nextCall(TABLE).callback().accept(rows(9, row("config", 9)));
        advance(Duration.ofSeconds(3));
        assertEquals(List.of(TABLE), store.reconnectedWatches);
    }

    private void route() {
        monitor.runWhenFresh(() -> events.add("routed"));
    }

    /** Fails attempts of a check, and advances the clock to the next attempt after each. */
    private void failAttempts(int count) {
        for (int i = 0; i < count; i++) {
            store.nextCall(TABLE).callback().accept(new StoreReply.Unavailable("status 503"));
            advance(TICK);
        }
    }

    private void advance(Duration duration) {
        long end = timers.nowNanos() + duration.toNanos();
        while (timers.nowNanos() < end) {
            timers.advance(Math.min(end, timers.nowNanos() + TICK.toNanos()));
        }
    }

    private long storeMillis() {
        return STORE_OFFSET_MILLIS + Duration.ofNanos(timers.nowNanos()).toMillis();
    }

    private StoreReply.Rows rows(long revision, TableRow... rows) {
        return new StoreReply.Rows(List.of(rows), revision, OptionalLong.of(storeMillis()));
    }

    private static TableRow row(String key, long revision) {
        return new TableRow(key, new byte[0], revision, false);
    }

    private final class RecordingListener implements TableListener {

        @Override
        public void tableReplaced(WatchedTable table, Collection<TableRow> rows) {
            if (table == TABLE) {
                events.add("replaced with " + rows.iterator().next().revision());
            }
        }

        @Override
        public void rowsChanged(WatchedTable table, List<TableRow> changes, Collection<TableRow> rows) {
            events.add("changed to " + changes.get(0).revision());
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
