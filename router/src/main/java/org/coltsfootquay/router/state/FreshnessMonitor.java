package org.coltsfootquay.router.state;

import java.time.Duration;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.freshness.ChangeTimes;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.forward.StateFreshness;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.metrics.RouterMetrics;

/**
 * Keeps the age of the watched tables below the times within which changes must be in force; used on one event loop.
 *
 * <p>A copy that was current at most that time ago includes every change that must be in force, however slowly changes
 * travel. The replies to the watches of all routers confirm a table often; if none does for a while, one router asks
 * the store and tells the others. A router whose copy is too old all the same asks the store itself, and requests wait
 * for the reply.
 */
public final class FreshnessMonitor implements StateFreshness {

    private static final EventLog LOG = EventLog.of(FreshnessMonitor.class);

    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /** Age at which a table is checked in the background, as a fraction of the time for its changes. */
    private static final double CHECK_FRACTION = 0.6;

    /** Age at which requests wait for a check, as a fraction of the time for changes; the rest is the time to route. */
    private static final double WAIT_FRACTION = 0.9;

    /** Time after which the next router checks a table; the result of a check arrives earlier. */
    private static final Duration CHECK_STEP = Duration.ofMillis(150);

    /**
     * Ticks for which a check may delay requests; a store in order replies within milliseconds. Time in which the
     * process is paused does not count, since the reply is read after it.
     */
    private static final int MAX_WAIT_TICKS = 5;

    private static final Duration INITIAL_RETRY_DELAY = Duration.ofSeconds(1);

    /** Doublings of the delay after checks that fail; calls to a store that is down have a cost too. */
    private static final int MAX_RETRY_DOUBLINGS = 3;

    /** Attempts of a check in the background. */
    private static final int MIN_ATTEMPTS = 2;

    /** Attempts of a check for which requests wait. */
    private static final int MAX_ATTEMPTS = 3;

    private static final Duration ATTEMPT_DELAY = Duration.ofMillis(50);

    /** Time of the first attempt; its connection may have gone silent, and the next attempt uses a new one. */
    private static final Duration FIRST_ATTEMPT_TIMEOUT = Duration.ofMillis(250);

    /** Time of later attempts; a store that is slow still confirms the table for later requests. */
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1200);

    private final TableWatcher watcher;
    private final TimerService timers;
    private final CheckOrder order;
    private final RouterMetrics metrics;
    private final Map<WatchedTable, TableCheck> checks = new EnumMap<>(WatchedTable.class);
    private final Duration operatorTime;
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private Runnable checkedListener = () -> {};

    /**
     * Creates a monitor; {@link #start()} starts the checks in the background.
     *
     * @param watcher holds the tables
     * @param timers timers of the event loop
     * @param changeTimes times within which changes must be in force
     * @param order order in which routers check a table
     * @param metrics metrics
     */
    public FreshnessMonitor(
            TableWatcher watcher,
            TimerService timers,
            ChangeTimes changeTimes,
            CheckOrder order,
            RouterMetrics metrics) {
        this.watcher = watcher;
        this.timers = timers;
        this.order = order;
        this.metrics = metrics;
        this.operatorTime = changeTimes.operator();
        checks.put(WatchedTable.OPERATOR, new TableCheck(WatchedTable.OPERATOR, changeTimes.operator()));
        checks.put(WatchedTable.SERVERS, new TableCheck(WatchedTable.SERVERS, changeTimes.servers()));
        for (WatchedTable table : checks.keySet()) {
            String label = "{table=\"" + table.name().toLowerCase(Locale.ROOT) + "\"}";
            metrics.gauge(
                    "coltsfootquay_table_age_seconds" + label,
                    () -> watcher.age(table).map(age -> age.toMillis() / 1e3).orElse(Double.NaN));
        }
        watcher.setConfirmationListener(this::runUnlessDelayed);
    }

    /**
     * Sets a listener that is called whenever a check of this router has succeeded.
     *
     * @param listener listener
     */
    public void setCheckedListener(Runnable listener) {
        checkedListener = ArgumentUtils.requireValue(listener, "listener");
    }

    /** Starts the checks in the background, and limits the time for which requests wait. */
    public void start() {
        timers.schedulePeriodic("table freshness", TICK_INTERVAL, () -> {
            checks.values().forEach(TableCheck::tick);
            runUnlessDelayed();
        });
    }

    @Override
    public Optional<Duration> overdueAge() {
        return watcher.age(WatchedTable.OPERATOR).filter(age -> age.compareTo(operatorTime) > 0);
    }

    @Override
    public void runWhenFresh(Runnable task) {
        List<TableCheck> tooOld =
                checks.values().stream().filter(TableCheck::isTooOld).toList();
        if (tooOld.isEmpty()) {
            task.run();
            return;
        }
        tooOld.forEach(TableCheck::check);
        waiting.add(task);
        // A check may end at once, and one that has taken long delays no further requests.
        runUnlessDelayed();
        if (waiting.contains(task)) {
            metrics.count("coltsfootquay_requests_waiting_for_checks_total");
        }
    }

    private void runUnlessDelayed() {
        if (!waiting.isEmpty() && checks.values().stream().noneMatch(TableCheck::delaysRequests)) {
            runWaiting();
        }
    }

    private void runWaiting() {
        List<Runnable> tasks = List.copyOf(waiting);
        waiting.clear();
        for (Runnable task : tasks) {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.warn("waiting_request_failed", "error", e);
            }
        }
    }

    private static Duration fraction(Duration duration, double fraction) {
        return Duration.ofNanos((long) (duration.toNanos() * fraction));
    }

    /** Order in which routers check a table that no reply has confirmed for a while. */
    @FunctionalInterface
    public interface CheckOrder {

        /**
         * Returns the position of this router.
         *
         * @param confirmedMillis time at which the table was last confirmed; routers with the same time use the same
         *     order, and the first router differs from time to time
         * @return position, from 0
         */
        int position(long confirmedMillis);
    }

    /** Checks of one table. */
    private final class TableCheck {

        private final WatchedTable table;
        private final Duration checkAge;
        private final Duration waitAge;
        private boolean inProgress;
        private int ticks;
        private int attempts;
        private int failures;
        private long failedNanos;
        private Duration retryDelay = Duration.ZERO;

        private TableCheck(WatchedTable table, Duration changeTime) {
            this.table = table;
            this.checkAge = fraction(changeTime, CHECK_FRACTION);
            this.waitAge = fraction(changeTime, WAIT_FRACTION);
        }

        /** Returns whether a change that must be in force may be missing; false while the store states no time. */
        private boolean isTooOld() {
            return isOlderThan(waitAge);
        }

        /** Treats a time that cannot be compared with the clock of this router as too old. */
        private boolean isOlderThan(Duration limit) {
            return watcher.mirror(table).confirmedMillis().isPresent()
                    && watcher.age(table)
                            .filter(age -> age.compareTo(limit) <= 0)
                            .isEmpty();
        }

        private void checkIfDue() {
            if (isOlderThan(checkAge)) {
                int position =
                        order.position(watcher.mirror(table).confirmedMillis().orElse(0));
                if (isOlderThan(checkAge.plus(CHECK_STEP.multipliedBy(position)))) {
                    check();
                }
            }
        }

        private void check() {
            if (!inProgress && !waitsForRetry()) {
                inProgress = true;
                ticks = 0;
                attempts = 0;
                attempt();
            }
        }

        /** Returns whether the store has failed a moment ago, and has not replied to any call since. */
        private boolean waitsForRetry() {
            return failures > 0
                    && timers.nowNanos() - failedNanos < retryDelay.toNanos()
                    && watcher.lastSuccessNanos() <= failedNanos;
        }

        private void attempt() {
            attempts++;
            watcher.check(table, attempts == 1 ? FIRST_ATTEMPT_TIMEOUT : ATTEMPT_TIMEOUT, this::attemptDone);
        }

        private void attemptDone(boolean answered) {
            boolean confirmed = answered && !isTooOld();
            String outcome = answered ? "answered" : "failed";
            metrics.count("coltsfootquay_table_checks_total{outcome=\"" + outcome + "\"}");
            boolean requestsWait = !waiting.isEmpty() && ticks < MAX_WAIT_TICKS;
            if (!confirmed && attempts < (requestsWait ? MAX_ATTEMPTS : MIN_ATTEMPTS)) {
                // A call may fail since its connection was closed, and its reply may date from before a pause.
                var unused = timers.scheduleOnce("check attempt", ATTEMPT_DELAY, this::attempt);
                return;
            }
            inProgress = false;
            if (confirmed) {
                failures = 0;
                checkedListener.run();
            } else {
                failed();
            }
            runUnlessDelayed();
        }

        private void failed() {
            retryDelay = INITIAL_RETRY_DELAY.multipliedBy(1L << Math.min(failures, MAX_RETRY_DOUBLINGS));
            failures++;
            failedNanos = timers.nowNanos();
            LOG.info(
                    "table_unconfirmed",
                    "table",
                    table,
                    "ageMs",
                    watcher.age(table).map(Duration::toMillis).orElse(-1L),
                    "waiting",
                    waiting.size());
        }

        private void tick() {
            if (inProgress) {
                ticks++;
            } else {
                checkIfDue();
            }
        }

        private boolean delaysRequests() {
            return inProgress && ticks < MAX_WAIT_TICKS && isTooOld();
        }
    }
}
