package org.coltsfootquay.router.state;

import java.time.Duration;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.log.EventLog;

/**
 * Keeps copies of the watched tables current; used on one event loop.
 *
 * <p>Each table is read once and then watched. A watch hangs in the store until something changes, so that calls are
 * few; beacons of other routers reveal changes that a dead connection hides.
 */
public final class TableWatcher {

    private static final EventLog LOG = EventLog.of(TableWatcher.class);

    /**
     * Longest time that the store holds a watch of tables with bounds on their age. A watch on a dead connection hides
     * changes that long; since routers watch at different moments, one of them soon sees a change and tells the others.
     */
    private static final Duration WATCH_TIME = Duration.ofSeconds(5);

    /**
     * Routers for which the watch time holds. In a larger fleet watches are longer, since some router's watch ends as
     * soon as in a small one, and calls would grow with the fleet.
     */
    private static final int SMALL_FLEET = 8;

    /** Longest watch in a large fleet: the time after which a router that hears no peer notices a dead connection. */
    private static final Duration LONGEST_WATCH_TIME = Duration.ofSeconds(10);

    /**
     * Pause after a change, for each router of the fleet. Each change answers the watches of all routers, so that calls
     * grow with both; changes of the pause come in one answer.
     */
    private static final Duration PAUSE_PER_ROUTER = Duration.ofMillis(10);

    /** Longest pause after a change; a small part of the shortest bound on changes, 3 s for the configuration. */
    private static final Duration LONGEST_CHANGE_PAUSE = Duration.ofMillis(600);

    /**
     * Factor on the pause for the table of servers: many change together when servers start or a release goes on, and a
     * server that leaves serves for 3 s after its change.
     */
    private static final int SERVER_PAUSE_FACTOR = 2;

    /** Pause after a change of the table of routers: a router that joins is heard by its beacons. */
    private static final Duration ROUTER_PAUSE = Duration.ofSeconds(10);

    /** Part of the watch time that is random, so that routers that start together watch at different moments. */
    private static final double WATCH_SPREAD = 0.5;

    /** Time that the store holds a watch of the table of routers, which beacons keep current; saves calls. */
    private static final Duration ROUTER_WATCH_TIME = Duration.ofSeconds(20);

    /** First pause after a failed call; a short glitch costs little time. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

    /** Longest pause after failed calls; half of the time in which a returned store has to be noticed. */
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(800);

    /** Failures in a row after which the store counts as lost. */
    private static final int LOST_AFTER = 2;

    private static final int MAX_DOUBLINGS = 3;

    private final TableStore store;
    private final TimerService timers;
    private final RandomGenerator random;
    private final TableListener listener;
    private final IntSupplier routers;
    private final Map<WatchedTable, Watch> watches = new EnumMap<>(WatchedTable.class);
    private int failuresInRow;
    private boolean lost;
    private boolean stopped;

    /**
     * Creates a watcher.
     *
     * @param store store
     * @param timers timers of the event loop
     * @param random spreads the watches of routers
     * @param listener hears of new content
     * @param routers number of routers that watch
     */
    public TableWatcher(
            TableStore store,
            TimerService timers,
            RandomGenerator random,
            TableListener listener,
            IntSupplier routers) {
        this.random = random;
        this.store = store;
        this.timers = timers;
        this.listener = listener;
        this.routers = routers;
        for (WatchedTable table : WatchedTable.values()) {
            watches.put(table, new Watch(table));
        }
    }

    /** Begins to read and watch the tables of the operator and of servers. */
    public void start() {
        watches.get(WatchedTable.OPERATOR).read();
        watches.get(WatchedTable.SERVERS).read();
    }

    /**
     * Begins to read and watch the table of routers.
     *
     * <p>A router that reads after it has registered sees all that registered before it, and the later ones see it, so
     * that no router needs to hear of a registration at once.
     */
    public void startRouterTable() {
        watches.get(WatchedTable.ROUTERS).read();
    }

    /**
     * Returns the time for which changes may be hidden from this router by its pause after a change.
     *
     * @param table table
     * @return pause, which grows with the number of routers
     */
    public Duration changeDelay(WatchedTable table) {
        Duration pause = shorter(PAUSE_PER_ROUTER.multipliedBy(routers.getAsInt()), LONGEST_CHANGE_PAUSE);
        return switch (table) {
            case OPERATOR -> pause;
            case SERVERS -> pause.multipliedBy(SERVER_PAUSE_FACTOR);
            case ROUTERS -> ROUTER_PAUSE;
        };
    }

    /** Makes no more calls. */
    public void stop() {
        stopped = true;
    }

    /**
     * Returns the copy of a table.
     *
     * @param table table
     * @return copy
     */
    public TableMirror mirror(WatchedTable table) {
        return watches.get(table).mirror;
    }

    /**
     * Takes a copy that another router holds.
     *
     * @param table table
     * @param rows all rows
     * @param revision revision up to which they are complete
     * @param changeRevision revision of their last change
     * @return false if the copy is not newer than the one held
     */
    public boolean adoptCopy(WatchedTable table, Collection<TableRow> rows, long revision, long changeRevision) {
        TableMirror mirror = mirror(table);
        if (revision <= mirror.revision() || !mirror.replace(rows, revision, changeRevision)) {
            return false;
        }
        LOG.info("table_copied", "table", table, "revision", revision);
        listener.tableReplaced(table, mirror.rows());
        // The connection of the watch has not delivered what the other router knows.
        store.reconnectWatch(table);
        return true;
    }

    private void answered() {
        failuresInRow = 0;
        if (lost) {
            lost = false;
            LOG.info("store_regained");
            listener.storeRecovered();
        }
    }

    private Duration failed(WatchedTable table, String reason) {
        failuresInRow++;
        if (!lost && failuresInRow >= LOST_AFTER) {
            lost = true;
            LOG.warn("store_lost", "table", table, "reason", reason);
            listener.storeLost();
        }
        // Failed calls are priced too, and in a large fleet many routers fail at the same time.
        long factor =
                (long) Math.max(1, routers.getAsInt() / SMALL_FLEET) << Math.min(MAX_DOUBLINGS, failuresInRow / 3);
        return shorter(FIRST_PAUSE.multipliedBy(factor), LONGEST_PAUSE);
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    private final class Watch {

        private final WatchedTable table;
        private final TableMirror mirror = new TableMirror();

        private Watch(WatchedTable table) {
            this.table = table;
        }

        private void read() {
            if (!stopped) {
                store.read(table, this::readDone);
            }
        }

        private void watch() {
            if (!stopped) {
                store.watch(table, mirror.revision(), watchTime(), this::watchDone);
            }
        }

        private Duration watchTime() {
            if (table == WatchedTable.ROUTERS) {
                return ROUTER_WATCH_TIME;
            }
            double factor = Math.max(1, (double) routers.getAsInt() / SMALL_FLEET);
            double longest = Math.min((double) LONGEST_WATCH_TIME.toMillis(), WATCH_TIME.toMillis() * factor);
            return Duration.ofMillis((long) (longest * (1 - WATCH_SPREAD * random.nextDouble())));
        }

        private void readDone(StoreReply reply) {
            if (reply instanceof StoreReply.Rows rows) {
                answered();
                if (mirror.replace(rows.rows(), rows.revision(), newest(rows.rows()))) {
                    listener.tableReplaced(table, mirror.rows());
                }
                watch();
            } else {
                String reason = reply instanceof StoreReply.Unavailable away ? away.reason() : "history_gone";
                var unused = timers.scheduleOnce("table read", failed(table, reason), this::read);
            }
        }

        private long newest(List<TableRow> rows) {
            return rows.stream().mapToLong(TableRow::revision).max().orElse(0);
        }

        private void watchDone(StoreReply reply) {
            if (reply instanceof StoreReply.Rows rows) {
                answered();
                List<TableRow> news = mirror.apply(rows.rows(), rows.revision());
                if (!news.isEmpty()) {
                    listener.rowsChanged(table, news, mirror.rows());
                }
                if (rows.rows().isEmpty()) {
                    watch();
                } else {
                    var unused = timers.scheduleOnce("table watch", changeDelay(table), this::watch);
                }
            } else if (reply instanceof StoreReply.HistoryTruncated) {
                LOG.info("store_history_gone", "table", table, "revision", mirror.revision());
                read();
            } else if (reply instanceof StoreReply.Unavailable away) {
                var unused = timers.scheduleOnce("table watch", failed(table, away.reason()), this::watch);
            }
        }
    }
}
