package org.coltsfootquay.router.state;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.coltsfootquay.decision.backend.BackendRegistry;
import org.coltsfootquay.decision.freshness.ChangeTimes;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.log.EventLog;

/**
 * Contact with the store of a router that does not watch it; used on the event loop.
 *
 * <p>Such a router makes no calls that could fail. It counts the store as out of reach, from the last confirmation on,
 * while nothing confirms its table of servers and its own checks fail: registrations may lapse meanwhile although their
 * servers run.
 */
public final class IndirectContact {

    private static final EventLog LOG = EventLog.of(IndirectContact.class);

    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /** Interval of checks that fail; calls to a store that is down have a cost too. */
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(250);

    /** Age that a table reaches only if several checks in turn have failed, as a fraction of the time for changes. */
    private static final double MAX_AGE_FRACTION = 0.9;

    /** Age at which a router watches itself, as a fraction of the time for changes; the rest is the time for a call. */
    private static final double UNCONFIRMED_FRACTION = 0.75;

    /** Maximum age in any case; registrations lapse 2.4 s after the start of an outage at the earliest. */
    private static final Duration MAX_AGE = Duration.ofSeconds(2);

    private final TableWatcher watcher;
    private final BackendRegistry registry;
    private final TimerService timers;
    private final ChangeTimes changeTimes;
    private final Duration maxAge;
    private BooleanSupplier active = () -> true;
    private boolean lost;
    private boolean checking;
    private boolean checkFailed;
    private long checkedNanos;

    /**
     * Creates an instance.
     *
     * @param watcher holds the tables
     * @param registry servers, kept while the store is out of reach
     * @param timers timers of the event loop
     * @param changeTimes times within which changes must be in force
     */
    public IndirectContact(
            TableWatcher watcher, BackendRegistry registry, TimerService timers, ChangeTimes changeTimes) {
        this.watcher = watcher;
        this.registry = registry;
        this.timers = timers;
        this.changeTimes = changeTimes;
        Duration limit = fraction(changeTimes.servers(), MAX_AGE_FRACTION);
        this.maxAge = limit.compareTo(MAX_AGE) < 0 ? limit : MAX_AGE;
    }

    /**
     * Starts to follow the age of the table of servers.
     *
     * @param shared returns whether routers rely on the watches of others; the age has no effect otherwise
     */
    public void start(BooleanSupplier shared) {
        active = shared;
        timers.schedulePeriodic("indirect contact", TICK_INTERVAL, this::tick);
    }

    /**
     * Returns whether the tables are confirmed often enough by others.
     *
     * @return false if this router has to watch itself
     */
    public boolean isConfirmed() {
        return isYounger(WatchedTable.OPERATOR, unconfirmedAge(changeTimes.operator()))
                && isYounger(WatchedTable.SERVERS, unconfirmedAge(changeTimes.servers()));
    }

    private boolean isYounger(WatchedTable table, Duration limit) {
        return watcher.age(table).filter(age -> age.compareTo(limit) <= 0).isPresent();
    }

    private static Duration unconfirmedAge(Duration changeTime) {
        return fraction(changeTime, UNCONFIRMED_FRACTION);
    }

    private static Duration fraction(Duration duration, double fraction) {
        return Duration.ofNanos((long) (duration.toNanos() * fraction));
    }

    /** Asks the store, since a watch is not answered until a change. */
    private void check() {
        long now = timers.nowNanos();
        if (!checking && (!checkFailed || now - checkedNanos >= CHECK_INTERVAL.toNanos())) {
            checking = true;
            checkedNanos = now;
            watcher.check(WatchedTable.SERVERS, CHECK_TIMEOUT, answered -> {
                checking = false;
                checkFailed = !answered;
            });
        }
    }

    private void tick() {
        Optional<Duration> age = watcher.age(WatchedTable.SERVERS);
        if (age.isEmpty()) {
            return;
        }
        if (active.getAsBoolean() && !isYounger(WatchedTable.SERVERS, unconfirmedAge(changeTimes.servers()))) {
            check();
        }
        if (isYounger(WatchedTable.SERVERS, maxAge) || !active.getAsBoolean()) {
            if (!watcher.isWatching()) {
                watcher.contactConfirmedByPeers();
            }
            if (lost && !watcher.isStoreLost()) {
                lost = false;
                registry.recordStoreReachable(timers.nowNanos());
            }
        } else if (!lost && checkFailed) {
            lost = true;
            LOG.warn("store_unconfirmed", "ageMs", age.get().toMillis());
            registry.recordStoreUnreachable(timers.nowNanos() - age.get().toNanos());
        }
    }
}
