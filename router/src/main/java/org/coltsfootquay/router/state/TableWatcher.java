package org.coltsfootquay.router.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.freshness.StoreClock;
import org.coltsfootquay.decision.peer.LagMonitor;
import org.coltsfootquay.decision.peer.TableState;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.log.EventLog;

/**
 * Keeps copies of the watched tables up to date; used on one event loop.
 *
 * <p>Each table is read and then watched with long polling, which keeps the number of calls low. After a failed call it
 * is read again: the read shows at once that the store answers, which a long poll does after seconds, and the history
 * that a watch would continue with may have been dropped. The beacons of other routers reveal changes that a dead
 * connection does not deliver.
 */
public final class TableWatcher {

    private static final EventLog LOG = EventLog.of(TableWatcher.class);

    /**
     * Maximum duration of a watch of tables whose changes must arrive within a time bound. A watch on a dead connection
     * hides changes for this time, unless the watch of another router ends or a check of the table finds them earlier.
     */
    private static final Duration MAX_WATCH_DURATION = Duration.ofSeconds(10);

    /**
     * Fleet size up to which {@link #MAX_WATCH_DURATION} applies. Watches of a larger fleet are longer: some router's
     * watch still ends as soon as in a small fleet, and the number of calls would otherwise grow with the fleet.
     */
    private static final int SMALL_FLEET_ROUTERS = 8;

    /**
     * Maximum watch duration in a large fleet, the longest that the store accepts; a router that receives no beacons
     * detects a dead connection by then.
     */
    private static final Duration MAX_LARGE_FLEET_WATCH_DURATION = Duration.ofSeconds(30);

    /**
     * Delay of the next watch after a change, per router of the fleet. Each change completes the watches of all
     * routers, so that calls grow with both numbers; the changes made during the delay arrive in one reply.
     */
    private static final Duration CHANGE_DELAY_PER_ROUTER = Duration.ofMillis(10);

    /** Maximum delay after a change; a small part of the shortest time bound on changes, 3 s for the configuration. */
    private static final Duration MAX_CHANGE_DELAY = Duration.ofMillis(600);

    /**
     * Factor on the delay for the table of servers: many rows change together when servers start or during a release,
     * and a leaving server still serves requests for 3 s after its change.
     */
    private static final int SERVER_CHANGE_DELAY_FACTOR = 2;

    /** Delay after a change of the table of routers; other routers learn of a new router from its beacons. */
    private static final Duration ROUTER_CHANGE_DELAY = Duration.ofSeconds(10);

    /** Random fraction of the watch duration; separates the watches of routers that start at the same time. */
    private static final double WATCH_JITTER = 0.5;

    /** Watch duration of the table of routers; long to save calls, since beacons keep that table current. */
    private static final Duration ROUTER_WATCH_DURATION = Duration.ofSeconds(20);

    /** Initial retry delay after a failed call; short, so that a brief failure costs little time. */
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);

    /** Time after which a watch that has not delivered a change, although a check has, is repeated. */
    private static final Duration WATCH_OVERDUE_TIME = Duration.ofSeconds(1);

    /** Maximum retry delay after failed calls; half of the time within which a recovered store must be detected. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(800);

    /** Consecutive failures after which the store is considered lost. */
    private static final int STORE_LOST_FAILURES = 2;

    private static final int MAX_RETRY_DOUBLINGS = 3;

    /** Time for a new watch connection to deliver a change before it is replaced as well; each one costs a read. */
    private static final Duration RECONNECT_DELAY = Duration.ofSeconds(2);

    /** Interval at which a router that does not watch looks whether it has to. */
    private static final Duration DUTY_INTERVAL = Duration.ofMillis(100);

    /** Time over which routers that do not watch spread their requests for copies of a change. */
    private static final Duration COPY_SPREAD = Duration.ofMillis(200);

    private final TableStore store;
    private final TimerService timers;
    private final RandomGenerator random;
    private final TableListener listener;
    private final IntSupplier routerCount;
    private final Map<WatchedTable, Watch> watches = new EnumMap<>(WatchedTable.class);
    private final StoreClock clock = new StoreClock();
    private int consecutiveFailures;
    private boolean lost;
    private long lostSinceNanos;
    private long lastSuccessNanos;
    private boolean stopped;
    private Runnable confirmationListener = () -> {};
    private Runnable changeListener = () -> {};
    private Runnable lossListener = () -> {};
    private BooleanSupplier duty = () -> true;

    /**
     * Creates a watcher.
     *
     * @param store store
     * @param timers timers of the event loop
     * @param random source of the jitter of watches
     * @param listener listener for changes and store availability
     * @param routerCount supplies the number of routers that watch
     */
    public TableWatcher(
            TableStore store,
            TimerService timers,
            RandomGenerator random,
            TableListener listener,
            IntSupplier routerCount) {
        this.random = random;
        this.store = store;
        this.timers = timers;
        this.listener = listener;
        this.routerCount = routerCount;
        for (WatchedTable table : WatchedTable.values()) {
            watches.put(table, new Watch(table));
        }
    }

    /** Starts to read and watch the tables of the operator and of servers. */
    public void start() {
        watches.get(WatchedTable.OPERATOR).read();
        watches.get(WatchedTable.SERVERS).read();
    }

    /**
     * Starts to read and watch the table of routers.
     *
     * <p>A router that reads the table after its own registration sees all earlier registrations, and later routers see
     * this router. No router therefore has to be informed of a registration immediately.
     */
    public void startRouterTable() {
        watches.get(WatchedTable.ROUTERS).read();
    }

    /**
     * Returns the time for which the delay after a change may hide further changes from this router.
     *
     * @param table table
     * @return delay; except for the table of routers, it grows with the number of routers up to a maximum
     */
    public Duration changeDelay(WatchedTable table) {
        Duration delay = min(CHANGE_DELAY_PER_ROUTER.multipliedBy(routerCount.getAsInt()), MAX_CHANGE_DELAY);
        return switch (table) {
            case OPERATOR -> delay;
            case SERVERS -> delay.multipliedBy(SERVER_CHANGE_DELAY_FACTOR);
            case ROUTERS -> ROUTER_CHANGE_DELAY;
        };
    }

    /**
     * Returns the time for which a peer with a change is not asked for its copy, since the own watch may deliver it.
     *
     * @param table table
     * @return time; zero if a copy of a peer has brought a change and no watch has completed since
     */
    public Duration deliveryTime(WatchedTable table) {
        if (watches.get(table).offDuty) {
            return watches.get(table).copyDelay;
        }
        return watches.get(table).trusted ? changeDelay(table).plus(LagMonitor.GRACE_PERIOD) : Duration.ZERO;
    }

    /**
     * Sets what decides whether this router watches; it reads all tables in any case.
     *
     * @param watches returns whether to start another watch now
     */
    public void setDuty(BooleanSupplier watches) {
        duty = ArgumentUtils.requireValue(watches, "watches");
    }

    /**
     * Sets a listener that is called whenever the store has delivered a change.
     *
     * @param listener listener
     */
    public void setChangeListener(Runnable listener) {
        changeListener = ArgumentUtils.requireValue(listener, "listener");
    }

    /**
     * Sets a listener that is called whenever the store is considered lost, after the table listener.
     *
     * @param listener listener
     */
    public void setLossListener(Runnable listener) {
        lossListener = ArgumentUtils.requireValue(listener, "listener");
    }

    /**
     * Returns whether this router watches the table of servers.
     *
     * @return false if it relies on other routers
     */
    public boolean isWatching() {
        return !watches.get(WatchedTable.SERVERS).offDuty;
    }

    /**
     * Returns whether the latest calls of this router have failed.
     *
     * @return true until a call succeeds
     */
    public boolean isStoreLost() {
        return lost;
    }

    /** Records that other routers reach the store while this one does not watch. */
    public void contactConfirmedByPeers() {
        if (lost) {
            consecutiveFailures = 0;
            regained();
        }
    }

    /** Stops; no further calls are made. */
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
     * Returns the time since the copy of a table was last known to include all changes.
     *
     * @param table table
     * @return age, never less than the real one; empty while unknown
     */
    public Optional<Duration> age(WatchedTable table) {
        OptionalLong confirmed = mirror(table).confirmedMillis();
        return confirmed.isEmpty() ? Optional.empty() : clock.since(confirmed.getAsLong(), timers.nowNanos());
    }

    /**
     * Returns the time of the last successful call.
     *
     * @return time of the timer service in nanoseconds, 0 before the first such call
     */
    public long lastSuccessNanos() {
        return lastSuccessNanos;
    }

    /**
     * Sets a listener that is called whenever a table was found to be current at a later time than before.
     *
     * @param listener listener
     */
    public void setConfirmationListener(Runnable listener) {
        confirmationListener = ArgumentUtils.requireValue(listener, "listener");
    }

    /**
     * Records that another router knows up to when its copy of a table includes all changes.
     *
     * @param table table
     * @param theirs state of the other router's copy
     * @param confirmedMillis milliseconds of the store's clock
     */
    public void peerConfirmed(WatchedTable table, TableState theirs, long confirmedMillis) {
        if (confirmedMillis > 0 && theirs.digest() == mirror(table).state().digest()) {
            confirmByPeer(table, confirmedMillis);
        }
    }

    /** Ignores times that this router cannot compare with its own, since the store has not replied to it. */
    private void confirmByPeer(WatchedTable table, long confirmedMillis) {
        if (clock.millis(timers.nowNanos()).isPresent()) {
            confirm(table, confirmedMillis);
        }
    }

    private void confirm(WatchedTable table, long storeMillis) {
        TableMirror mirror = mirror(table);
        if (age(table).isEmpty() || storeMillis > mirror.confirmedMillis().orElse(0)) {
            mirror.confirm(storeMillis);
            notifyListener(table, confirmationListener);
        }
    }

    /**
     * Asks the store whether the copy of a table is current.
     *
     * @param table table
     * @param timeout time after which the call fails
     * @param onDone receives whether the store has answered; if the table is being read, the read counts
     */
    public void check(WatchedTable table, Duration timeout, Consumer<Boolean> onDone) {
        if (stopped) {
            onDone.accept(false);
        } else {
            watches.get(table).check(timeout, onDone);
        }
    }

    /**
     * Merges a copy of a table from another router.
     *
     * @param table table
     * @param copy copy
     * @return false if no row has changed
     */
    public boolean adoptCopy(WatchedTable table, TableSnapshot copy) {
        TableMirror mirror = mirror(table);
        if (!mirror.merge(copy)) {
            copy.confirmedMillis().ifPresent(millis -> confirmByPeer(table, millis));
            return false;
        }
        LOG.info("table_copied", "table", table, "revision", copy.revision());
        notifyListener(table, () -> listener.tableReplaced(table, mirror.rows()));
        copy.confirmedMillis().ifPresent(millis -> confirmByPeer(table, millis));
        watches.get(table).changeCopied();
        return true;
    }

    /** Notifies a listener; a failure, such as a row that it cannot apply, must not end the watch of the table. */
    private static void notifyListener(WatchedTable table, Runnable notification) {
        try {
            notification.run();
        } catch (RuntimeException e) {
            LOG.warn("table_change_failed", "table", table, "error", e);
        }
    }

    private void callSucceeded() {
        consecutiveFailures = 0;
        lastSuccessNanos = timers.nowNanos();
        if (lost) {
            regained();
        }
    }

    private void regained() {
        lost = false;
        LOG.info(
                "store_regained",
                "lostMs",
                Duration.ofNanos(timers.nowNanos() - lostSinceNanos).toMillis());
        listener.storeRecovered();
    }

    private Duration callFailed(WatchedTable table, String reason) {
        consecutiveFailures++;
        if (consecutiveFailures == 1) {
            LOG.info("store_call_failed", "table", table, "reason", reason);
        }
        if (!lost && consecutiveFailures >= STORE_LOST_FAILURES) {
            lost = true;
            lostSinceNanos = timers.nowNanos();
            LOG.warn("store_lost", "table", table, "reason", reason);
            listener.storeLost();
            lossListener.run();
        }
        // The store charges for failed calls too, and in a large fleet the calls of many routers fail at the same time.
        long factor = (long) Math.max(1, routerCount.getAsInt() / SMALL_FLEET_ROUTERS)
                << Math.min(MAX_RETRY_DOUBLINGS, consecutiveFailures / 3);
        return min(INITIAL_RETRY_DELAY.multipliedBy(factor), MAX_RETRY_DELAY);
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    private final class Watch {

        private final WatchedTable table;
        private final TableMirror mirror = new TableMirror();
        private boolean loaded;
        private boolean reconnecting;
        private boolean trusted = true;
        private boolean replacing;
        private long lastReadNanos;
        private long sentNanos;
        private long replies;
        private boolean reading;
        private boolean offDuty;
        private Duration copyDelay = Duration.ZERO;
        private Optional<TimerService.ScheduledTask> nextCall = Optional.empty();
        private final List<Consumer<Boolean>> awaitingRead = new ArrayList<>();

        private Watch(WatchedTable table) {
            this.table = table;
        }

        private void read() {
            if (!stopped) {
                reconnecting = false;
                lastReadNanos = timers.nowNanos();
                sentNanos = lastReadNanos;
                reading = true;
                store.read(table, reply -> {
                    reading = false;
                    readDone(reply);
                    List<Consumer<Boolean>> callbacks = List.copyOf(awaitingRead);
                    awaitingRead.clear();
                    callbacks.forEach(callback -> callback.accept(reply instanceof StoreReply.Rows));
                });
            }
        }

        private void schedule(String name, Duration delay, Runnable call) {
            nextCall = Optional.of(timers.scheduleOnce(name, delay, () -> {
                nextCall = Optional.empty();
                call.run();
            }));
        }

        private void watch() {
            if (!stopped && !duty.getAsBoolean()) {
                if (!offDuty) {
                    offDuty = true;
                    copyDelay = Duration.ofMillis((long) (COPY_SPREAD.toMillis() * random.nextDouble()));
                }
                schedule("watch duty", DUTY_INTERVAL, this::watch);
            } else if (!stopped) {
                offDuty = false;
                reconnecting = false;
                sentNanos = timers.nowNanos();
                store.watch(table, mirror.watchRevision(), watchDuration(), this::watchDone);
            }
        }

        /**
         * Processes that a peer had a change earlier than this watch, whose connection may be dead. Later copies do not
         * close the new connection at once, since it can deliver nothing if each of them does.
         */
        private void changeCopied() {
            if (offDuty) {
                return;
            }
            if (trusted) {
                trusted = false;
                reconnect();
            } else if (!replacing) {
                replacing = true;
                var unused = timers.scheduleOnce("watch replacement", RECONNECT_DELAY, () -> {
                    replacing = false;
                    if (!trusted && !stopped) {
                        reconnect();
                    }
                });
            }
        }

        /** Closes the connection; a call in progress then fails, which says nothing about the store. */
        private void reconnect() {
            reconnecting = true;
            store.reconnectWatch(table);
        }

        /** Reads the table after a call has failed; with a delay, unless this watcher closed the connection. */
        private void readAfterFailure(String reason) {
            Duration delay = reconnecting ? Duration.ZERO : callFailed(table, reason);
            schedule("table read", delay, this::read);
        }

        private Duration watchDuration() {
            if (table == WatchedTable.ROUTERS) {
                return ROUTER_WATCH_DURATION;
            }
            double factor = Math.max(1, (double) routerCount.getAsInt() / SMALL_FLEET_ROUTERS);
            double maxMillis = Math.min(
                    (double) MAX_LARGE_FLEET_WATCH_DURATION.toMillis(), MAX_WATCH_DURATION.toMillis() * factor);
            return Duration.ofMillis((long) (maxMillis * (1 - WATCH_JITTER * random.nextDouble())));
        }

        private void readDone(StoreReply reply) {
            if (reply instanceof StoreReply.Rows rows) {
                callSucceeded();
                LOG.info(
                        "table_read",
                        "table",
                        table,
                        "revision",
                        rows.revision(),
                        "rows",
                        rows.rows().size());
                long digest = mirror.state().digest();
                replies++;
                recordStoreTime(rows, sentNanos);
                if (!mirror.replace(rows.rows(), rows.revision())) {
                    LOG.info("stale_read_ignored", "table", table, "revision", rows.revision());
                    schedule("table watch", INITIAL_RETRY_DELAY, this::watch);
                    return;
                }
                boolean changed = mirror.state().digest() != digest;
                if (!loaded || changed) {
                    loaded = true;
                    notifyListener(table, () -> listener.tableReplaced(table, mirror.rows()));
                }
                rows.storeMillis().ifPresent(millis -> confirm(table, millis));
                if (changed) {
                    notifyListener(table, changeListener);
                }
                watch();
            } else if (reply instanceof StoreReply.Unavailable unavailable) {
                readAfterFailure(unavailable.reason());
            } else {
                readAfterFailure("history_gone");
            }
        }

        private void recordStoreTime(StoreReply.Rows rows, long callSentNanos) {
            rows.storeMillis().ifPresent(millis -> clock.recordReply(callSentNanos, timers.nowNanos(), millis));
        }

        /** Applies the reply to a watch or a check; returns whether it had any new change. */
        private boolean applyChanges(StoreReply.Rows rows, long callSentNanos) {
            recordStoreTime(rows, callSentNanos);
            List<TableRow> newChanges = mirror.apply(rows.rows(), rows.revision());
            if (!newChanges.isEmpty()) {
                notifyListener(table, () -> listener.rowsChanged(table, newChanges, mirror.rows()));
            }
            // Requests that wait for the confirmation are routed by the changes.
            rows.storeMillis().ifPresent(millis -> confirm(table, millis));
            if (!newChanges.isEmpty()) {
                notifyListener(table, changeListener);
            }
            return !newChanges.isEmpty();
        }

        private void check(Duration timeout, Consumer<Boolean> onDone) {
            if (!loaded && (reading || nextCall.isPresent())) {
                awaitingRead.add(onDone);
                return;
            }
            long checkSentNanos = timers.nowNanos();
            store.check(table, mirror.watchRevision(), timeout, reply -> {
                if (reply instanceof StoreReply.Rows rows) {
                    if (applyChanges(rows, checkSentNanos)) {
                        reconnectIfOverdue();
                    }
                    onDone.accept(true);
                } else if (reply instanceof StoreReply.HistoryTruncated) {
                    readNow(onDone);
                } else if (reply instanceof StoreReply.Unavailable unavailable) {
                    LOG.info("table_check_failed", "table", table, "reason", unavailable.reason());
                    onDone.accept(false);
                }
            });
        }

        /** Reads the table at once, since the store has dropped the history that a check needs. */
        private void readNow(Consumer<Boolean> onDone) {
            awaitingRead.add(onDone);
            if (nextCall.isPresent()) {
                nextCall.get().cancel();
                nextCall = Optional.empty();
                read();
            } else if (!reading) {
                // The watch that fails is followed by a read.
                reconnect();
            }
        }

        /** Repeats the watch unless it delivers soon what a check has delivered. */
        private void reconnectIfOverdue() {
            long repliesBefore = replies;
            var unused = timers.scheduleOnce("overdue watch", WATCH_OVERDUE_TIME.plus(changeDelay(table)), () -> {
                if (replies == repliesBefore && !stopped && !offDuty) {
                    LOG.info("watch_overdue", "table", table);
                    reconnect();
                }
            });
        }

        private void watchDone(StoreReply reply) {
            if (reply instanceof StoreReply.Rows rows) {
                trusted = true;
                loaded = true;
                callSucceeded();
                replies++;
                applyChanges(rows, sentNanos);
                if (rows.rows().isEmpty()) {
                    watch();
                } else {
                    schedule("table watch", changeDelay(table), this::watch);
                }
            } else if (reply instanceof StoreReply.HistoryTruncated) {
                LOG.info("store_history_gone", "table", table, "revision", mirror.watchRevision());
                readAgain();
            } else if (reply instanceof StoreReply.Unavailable unavailable) {
                readAfterFailure(unavailable.reason());
            }
        }

        /** Reads the table, with a delay if the last read was too old to continue with. */
        private void readAgain() {
            long elapsed = timers.nowNanos() - lastReadNanos;
            if (elapsed >= INITIAL_RETRY_DELAY.toNanos()) {
                read();
            } else {
                schedule("table read", INITIAL_RETRY_DELAY, this::read);
            }
        }
    }
}
