package org.coltsfootquay.router.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.peer.LagMonitor;
import org.coltsfootquay.decision.peer.TableState;
import org.coltsfootquay.decision.timer.DrivenTimerService;

/**
 * Guards against routers that keep an old configuration, or return to one, while the store misses watches, drops its
 * history, serves stale reads and rejects some routers.
 */
final class ChangePropagationTest {

    private static final WatchedTable TABLE = WatchedTable.OPERATOR;
    private static final int ROUTERS = 6;
    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration BEACON_PERIOD = Duration.ofMillis(200);

    /** Bound on a change once one router has it and the routers hear each other; the operator's is 2 s. */
    private static final Duration MAX_PROPAGATION = Duration.ofSeconds(1);

    @Property(tries = 300)
    void everyRouterAppliesAChangeSoonAfterTheFirst(@ForAll long seed) {
        assertChangesArrive(new Fleet(seed, Stamp.OF_THE_ROWS));
    }

    /** Routers took the revision of a read for a proof that its rows were current, and refused copies of others. */
    @Property(tries = 300)
    void everyRouterAppliesAChangeAlthoughReadsAreOlderThanTheirRevision(@ForAll long seed) {
        assertChangesArrive(new Fleet(seed, Stamp.NEWEST));
    }

    @Property(tries = 300)
    void noRouterReturnsToAnOlderVersion(@ForAll long seed) {
        assertVersionsIncrease(new Fleet(seed, Stamp.OF_THE_ROWS));
    }

    @Property(tries = 300)
    void noRouterReturnsToAnOlderVersionAlthoughReadsAreOlderThanTheirRevision(@ForAll long seed) {
        assertVersionsIncrease(new Fleet(seed, Stamp.NEWEST));
    }

    private static void assertChangesArrive(Fleet fleet) {
        for (int step = 0; step < 400; step++) {
            fleet.step();
            fleet.checkLag();
        }
    }

    private static void assertVersionsIncrease(Fleet fleet) {
        for (int step = 0; step < 400; step++) {
            fleet.step();
        }
        for (Router router : fleet.routers) {
            List<Long> sorted = router.versions.stream().sorted().toList();
            assertEquals(sorted, router.versions, "seed " + fleet.seed);
        }
    }

    /** Revision that a stale read states. */
    private enum Stamp {
        OF_THE_ROWS,
        NEWEST
    }

    private static final class Fleet {

        private final long seed;
        private final Random random;
        private final DrivenTimerService timers = new DrivenTimerService(0);
        private final FaultyStore store;
        private final List<Router> routers = new ArrayList<>();

        private Fleet(long seed, Stamp stamp) {
            this.seed = seed;
            this.random = new Random(seed);
            this.store = new FaultyStore(random, timers, stamp);
            for (int i = 0; i < ROUTERS; i++) {
                routers.add(new Router(i, store, timers, new Random(random.nextLong())));
            }
            routers.forEach(router -> router.watcher.start());
        }

        private void step() {
            timers.advance(timers.nowNanos() + STEP.toNanos());
            store.injectFaults();
            store.deliver();
            if (timers.nowNanos() % BEACON_PERIOD.toNanos() == 0) {
                routers.forEach(this::sendBeacon);
            }
        }

        private void sendBeacon(Router sender) {
            for (Router receiver : routers) {
                if (receiver != sender) {
                    receiver.beaconReceived(sender, timers.nowNanos());
                }
            }
        }

        private void checkLag() {
            long newest = routers.stream().mapToLong(Router::version).max().orElse(0);
            for (Router router : routers) {
                if (router.version() == newest) {
                    router.behindSinceNanos = timers.nowNanos();
                }
                long behind = timers.nowNanos() - router.behindSinceNanos;
                // Changes at most every second, so the time behind never covers more than one change.
                assertTrue(
                        behind <= MAX_PROPAGATION.toNanos(),
                        "seed " + seed + ": version " + router.version() + " instead of " + newest + " for "
                                + Duration.ofNanos(behind).toMillis() + " ms");
            }
        }
    }

    private static final class Router implements TableListener {

        private final RouterId id;
        private final TableWatcher watcher;
        private final LagMonitor lagMonitor = new LagMonitor();
        private final List<Long> versions = new ArrayList<>();
        private long behindSinceNanos;

        private Router(int number, TableStore store, DrivenTimerService timers, Random random) {
            id = new RouterId("router-" + number);
            watcher = new TableWatcher(store, timers, random, this, () -> ROUTERS);
        }

        private long version() {
            return versions.isEmpty() ? 0 : versions.get(versions.size() - 1);
        }

        private void beaconReceived(Router sender, long nowNanos) {
            TableState own = watcher.mirror(TABLE).state();
            TableState other = sender.watcher.mirror(TABLE).state();
            if (lagMonitor.recordPeer(sender.id, other, own, watcher.deliveryTime(TABLE), nowNanos)) {
                lagMonitor.recordAsked(sender.id, other, own, nowNanos);
                watcher.adoptCopy(TABLE, sender.watcher.mirror(TABLE).snapshot());
            }
        }

        private void apply(Collection<TableRow> rows) {
            rows.forEach(row -> versions.add(Long.parseLong(new String(row.value(), StandardCharsets.UTF_8))));
        }

        @Override
        public void tableReplaced(WatchedTable table, Collection<TableRow> rows) {
            apply(rows);
        }

        @Override
        public void rowsChanged(WatchedTable table, List<TableRow> changes, Collection<TableRow> rows) {
            apply(rows);
        }

        @Override
        public void storeLost() {
            // Only the configuration matters here.
        }

        @Override
        public void storeRecovered() {
            // Only the configuration matters here.
        }
    }

    /** Store with one row whose revision grows faster than its version, since other tables change too. */
    private static final class FaultyStore implements TableStore {

        private static final Duration MIN_CHANGE_INTERVAL = Duration.ofMillis(1500);

        private final Random random;
        private final DrivenTimerService timers;
        private final Stamp stamp;
        private final List<Watch> watches = new ArrayList<>();
        private long revision = 1;
        private long version = 1;
        private TableRow row = row(1, 1);
        private TableRow staleRow = row;
        private long staleRevision = revision;
        private long lastChangeNanos;
        private long oldestRevision;
        private boolean silent;
        private boolean stale;
        private double rejectedShare;

        private FaultyStore(Random random, DrivenTimerService timers, Stamp stamp) {
            this.random = random;
            this.timers = timers;
            this.stamp = stamp;
        }

        private void injectFaults() {
            revision++;
            if (random.nextInt(40) == 0) {
                silent = !silent;
            }
            if (random.nextInt(40) == 0) {
                oldestRevision = revision;
            }
            if (random.nextInt(40) == 0) {
                stale = !stale;
                staleRow = row;
                staleRevision = revision;
            }
            if (random.nextInt(40) == 0) {
                rejectedShare = random.nextBoolean() ? 0 : 0.7;
            }
            boolean changeAllowed = timers.nowNanos() - lastChangeNanos > MIN_CHANGE_INTERVAL.toNanos();
            if (changeAllowed && random.nextInt(10) == 0) {
                lastChangeNanos = timers.nowNanos();
                row = row(++version, ++revision);
            }
        }

        /** Completes watches that have a change, have lost their history or have reached their maximum time. */
        private void deliver() {
            for (Watch watch : List.copyOf(watches)) {
                if (random.nextDouble() < rejectedShare) {
                    complete(watch, new StoreReply.Unavailable("status 503"));
                } else if (watch.afterRevision < oldestRevision && random.nextInt(4) == 0) {
                    complete(watch, new StoreReply.HistoryTruncated());
                } else if (!silent && row.revision() > watch.afterRevision) {
                    complete(watch, new StoreReply.Rows(List.of(row), revision));
                } else if (timers.nowNanos() >= watch.endNanos) {
                    complete(watch, new StoreReply.Rows(List.of(), revision));
                }
            }
        }

        private void complete(Watch watch, StoreReply reply) {
            watches.remove(watch);
            watch.callback.accept(reply);
        }

        @Override
        public void read(WatchedTable table, Consumer<StoreReply> callback) {
            if (table == TABLE) {
                long stated = stale && stamp == Stamp.OF_THE_ROWS ? staleRevision : revision;
                callback.accept(new StoreReply.Rows(List.of(stale ? staleRow : row), stated));
            }
        }

        @Override
        public void watch(WatchedTable table, long afterRevision, Duration wait, Consumer<StoreReply> callback) {
            if (table == TABLE) {
                watches.add(new Watch(afterRevision, timers.nowNanos() + wait.toNanos(), callback));
            }
        }

        @Override
        public void check(WatchedTable table, long afterRevision, Duration timeout, Consumer<StoreReply> callback) {
            throw new UnsupportedOperationException("routers check no tables in this test");
        }

        @Override
        public void putRouter(String key, byte[] value, Consumer<StoreReply> callback) {
            throw new UnsupportedOperationException("routers do not register in this test");
        }

        @Override
        public void deleteRouter(String key, Consumer<StoreReply> callback) {
            throw new UnsupportedOperationException("routers do not register in this test");
        }

        @Override
        public void reconnectWatch(WatchedTable table) {
            // The watch of the router keeps waiting.
        }

        private static TableRow row(long version, long revision) {
            return new TableRow("config", Long.toString(version).getBytes(StandardCharsets.UTF_8), revision, false);
        }

        private record Watch(long afterRevision, long endNanos, Consumer<StoreReply> callback) {}
    }
}
