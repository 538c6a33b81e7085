package org.coltsfootquay.decision.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Keeps a cache of the watched rows by polling for changes, and detects outages of the store.
 *
 * <p>Single-threaded: calls and callbacks run on the thread that drives the timer service.
 */
public final class StoreWatcher {

    private static final Duration CONNECTIVITY_CHECK_PERIOD = Duration.ofMillis(250);

    private final TableStore store;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final TimelineSink timeline;
    private final RandomGenerator random;
    private final StoreWatcherSettings settings;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Runnable> listeners = new ArrayList<>();

    private TimerService.ScheduledTask nextPoll;
    private TimerService.ScheduledTask connectivityCheck;
    private boolean pollInFlight;
    private boolean pollAgain;
    private boolean stopped;
    private Runnable stopCallback;
    private long revision;
    private int consecutiveFailures;
    private boolean complete;
    private long completeAsOfNanos;
    private boolean reachable;
    private long lastResponseNanos;
    private long reachabilityChangedNanos;
    private long lastSettledNanos;
    private long changeCount;

    /**
     * Creates a watcher, which stays idle until {@link #start()}.
     *
     * @param store table service
     * @param timer timer service
     * @param blackboard blackboard that receives {@link StoreConnectivity#TOPIC}
     * @param timeline sink for timeline events
     * @param random random source for jitter
     * @param settings settings
     */
    public StoreWatcher(
            TableStore store,
            TimerService timer,
            Blackboard blackboard,
            TimelineSink timeline,
            RandomGenerator random,
            StoreWatcherSettings settings) {
        this.store = ArgumentUtils.requireValue(store, "store");
        this.timer = ArgumentUtils.requireValue(timer, "timer");
        this.blackboard = ArgumentUtils.requireValue(blackboard, "blackboard");
        this.timeline = ArgumentUtils.requireValue(timeline, "timeline");
        this.random = ArgumentUtils.requireValue(random, "random");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
        this.lastResponseNanos = timer.nowNanos() - settings.outageTimeout().toNanos();
        this.reachabilityChangedNanos = timer.nowNanos();
        this.lastSettledNanos = timer.nowNanos();
    }

    /** Starts polling. */
    public void start() {
        connectivityCheck =
                timer.schedulePeriodic("store connectivity", CONNECTIVITY_CHECK_PERIOD, this::updateConnectivity);
        poll();
    }

    /**
     * Stops polling.
     *
     * @param callback invoked once when no poll is in flight
     */
    public void stop(Runnable callback) {
        stopped = true;
        stopCallback = callback;
        if (connectivityCheck != null) {
            connectivityCheck.cancel();
        }
        if (nextPoll != null) {
            nextPoll.cancel();
        }
        if (!pollInFlight) {
            finishStop();
        }
    }

    /**
     * Adds a listener for successful polls.
     *
     * @param listener invoked after each successful poll, once the cache is updated
     */
    public void subscribe(Runnable listener) {
        listeners.add(ArgumentUtils.requireValue(listener, "listener"));
    }

    /**
     * Returns a cached row.
     *
     * @param key key of the row
     * @return row, or empty if it does not exist or was deleted
     */
    public Optional<Row> row(String key) {
        return Optional.ofNullable(rows.get(key)).filter(row -> !row.deleted());
    }

    /**
     * Returns the cached rows whose keys have a prefix.
     *
     * @param prefix prefix of the keys
     * @return existing rows, ordered by key
     */
    public List<Row> rows(String prefix) {
        return rows.subMap(prefix, prefix + Character.MAX_VALUE).values().stream()
                .filter(row -> !row.deleted())
                .toList();
    }

    /**
     * Returns the store revision up to which the cache is complete.
     *
     * @return revision
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the number of changes of the cache.
     *
     * @return number of changes since the start
     */
    public long changeCount() {
        return changeCount;
    }

    /**
     * Tests whether the cache contains every change that was made before a point in time.
     *
     * @param sinceNanos timer service time
     * @return true if a poll that started at that time or later succeeded
     */
    public boolean completeAsOf(long sinceNanos) {
        return complete && completeAsOfNanos >= sinceNanos;
    }

    /**
     * Returns the time at which the latest successful poll started.
     *
     * @return timer service time, or empty before the first successful poll
     */
    public Optional<Long> completeAsOfNanos() {
        return complete ? Optional.of(completeAsOfNanos) : Optional.empty();
    }

    /**
     * Updates the cache with a row that a call of this router returned, unless the cached row is newer.
     *
     * @param row row as read or written
     */
    public void updateRow(Row row) {
        Row old = rows.get(row.key());
        if (old == null || (row.revision() >= old.revision() && !row.equals(old))) {
            rows.put(row.key(), row);
            changeCount++;
        }
    }

    /**
     * Records that the store responded to a call.
     *
     * @param sentNanos timer service time at which the call was sent
     */
    public void recordResponse(long sentNanos) {
        lastResponseNanos = Math.max(lastResponseNanos, sentNanos);
        updateConnectivity();
    }

    /** Polls immediately, or again right after the poll in flight. */
    public void requestPoll() {
        if (stopped) {
            return;
        }
        if (pollInFlight) {
            pollAgain = true;
            return;
        }
        if (nextPoll != null) {
            nextPoll.cancel();
        }
        poll();
    }

    private void poll() {
        if (stopped || pollInFlight) {
            return;
        }
        pollInFlight = true;
        pollAgain = false;
        long sentNanos = timer.nowNanos();
        store.changes(settings.prefixes(), revision, result -> handlePolled(sentNanos, result));
    }

    private void handlePolled(long sentNanos, Either<StoreException, RowChanges> result) {
        pollInFlight = false;
        if (stopped) {
            finishStop();
            return;
        }
        if (result.isRight()) {
            consecutiveFailures = 0;
            merge(sentNanos, result.get());
            recordResponse(sentNanos);
            listeners.forEach(Runnable::run);
        } else {
            consecutiveFailures++;
            updateConnectivity();
        }
        schedule(sentNanos);
    }

    private void merge(long sentNanos, RowChanges changes) {
        changes.rows().forEach(this::updateRow);
        revision = Math.max(revision, changes.revision());
        complete = true;
        completeAsOfNanos = Math.max(completeAsOfNanos, sentNanos);
    }

    private void schedule(long sentNanos) {
        if (stopped || pollInFlight) {
            return;
        }
        if (pollAgain) {
            poll();
            return;
        }
        long period = settings.period().toNanos();
        long delay;
        if (consecutiveFailures == 0) {
            long elapsed = timer.nowNanos() - sentNanos;
            delay = Math.max(0, Math.round(period * (0.9 + 0.2 * random.nextDouble())) - elapsed);
        } else {
            long maxDelayNanos =
                    Math.min(settings.maxBackoff().toNanos(), period << Math.min(consecutiveFailures - 1, 10));
            delay = maxDelayNanos / 2 + Math.round(maxDelayNanos * 0.5 * random.nextDouble());
        }
        nextPoll = timer.scheduleOnce("store poll", Duration.ofNanos(delay), this::poll);
    }

    private void updateConnectivity() {
        long now = timer.nowNanos();
        boolean respondedRecently =
                complete && now - lastResponseNanos < settings.outageTimeout().toNanos();
        if (respondedRecently != reachable) {
            reachable = respondedRecently;
            reachabilityChangedNanos = now;
            timeline.record(TimelineEvent.of(
                    respondedRecently ? EventKind.STORE_REACHED : EventKind.STORE_LOST,
                    "sinceAnswerMillis",
                    Duration.ofNanos(now - lastResponseNanos).toMillis()));
        }
        boolean settled = reachable
                && now - reachabilityChangedNanos >= settings.settlingTime().toNanos();
        if (settled) {
            lastSettledNanos = now;
        }
        blackboard.write(
                StoreConnectivity.TOPIC,
                new StoreConnectivity(reachable, settled, lastResponseNanos, lastSettledNanos));
    }

    private void finishStop() {
        if (stopCallback != null) {
            Runnable callback = stopCallback;
            stopCallback = null;
            callback.run();
        }
    }
}
