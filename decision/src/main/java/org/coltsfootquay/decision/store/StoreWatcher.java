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
 * Keeps a copy of the watched rows by polling for changes, and detects outages of the store.
 *
 * <p>Single-threaded: calls and callbacks run on the thread that drives the timer service.
 */
public final class StoreWatcher {

    private static final Duration CONTACT_CHECK_PERIOD = Duration.ofMillis(250);

    private final TableStore store;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final TimelineSink timeline;
    private final RandomGenerator random;
    private final StoreWatcherSettings settings;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Runnable> listeners = new ArrayList<>();

    private TimerService.ScheduledTask nextPoll;
    private TimerService.ScheduledTask contactCheck;
    private boolean polling;
    private boolean pollAgain;
    private boolean stopped;
    private Runnable stopCallback;
    private long revision;
    private int failures;
    private boolean complete;
    private long completeAsOfNanos;
    private boolean reachable;
    private long lastAnswerNanos;
    private long changedNanos;
    private long lastSettledNanos;
    private long changeCount;

    /**
     * Creates a watcher that does nothing until {@link #start()}.
     *
     * @param store table service
     * @param timer timer service
     * @param blackboard blackboard that receives {@link StoreConnectivity#TOPIC}
     * @param timeline receiver of events
     * @param random source of jitter
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
        this.lastAnswerNanos = timer.nowNanos() - settings.outageTimeout().toNanos();
        this.changedNanos = timer.nowNanos();
        this.lastSettledNanos = timer.nowNanos();
    }

    /** Starts polling. */
    public void start() {
        contactCheck = timer.schedulePeriodic("store contact", CONTACT_CHECK_PERIOD, this::checkContact);
        poll();
    }

    /**
     * Stops polling.
     *
     * @param callback called once when no poll is in flight
     */
    public void stop(Runnable callback) {
        stopped = true;
        stopCallback = callback;
        if (contactCheck != null) {
            contactCheck.cancel();
        }
        if (nextPoll != null) {
            nextPoll.cancel();
        }
        if (!polling) {
            finishStop();
        }
    }

    /**
     * Subscribes to completed polls.
     *
     * @param listener called after each poll that succeeded, when the copy of the rows is up to date
     */
    public void subscribe(Runnable listener) {
        listeners.add(ArgumentUtils.requireValue(listener, "listener"));
    }

    /**
     * Returns the copy of a row.
     *
     * @param key key of the row
     * @return the row, or empty when it does not exist or was deleted
     */
    public Optional<Row> row(String key) {
        return Optional.ofNullable(rows.get(key)).filter(row -> !row.deleted());
    }

    /**
     * Returns the copies of the rows with a prefix.
     *
     * @param prefix prefix of the keys
     * @return rows that exist, ordered by key
     */
    public List<Row> rows(String prefix) {
        return rows.subMap(prefix, prefix + Character.MAX_VALUE).values().stream()
                .filter(row -> !row.deleted())
                .toList();
    }

    /**
     * Returns the revision of the store up to which the copy is complete.
     *
     * @return revision
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns a number that grows with each change of the copy.
     *
     * @return number of changes since the start
     */
    public long changeCount() {
        return changeCount;
    }

    /**
     * Tells whether the copy contains every change that was made before a point in time.
     *
     * @param sinceNanos time by the timer service
     * @return true if a poll that began at that time or later succeeded
     */
    public boolean completeAsOf(long sinceNanos) {
        return complete && completeAsOfNanos >= sinceNanos;
    }

    /**
     * Returns when the newest poll that succeeded began.
     *
     * @return time by the timer service, or empty before the first one
     */
    public Optional<Long> completeAsOfNanos() {
        return complete ? Optional.of(completeAsOfNanos) : Optional.empty();
    }

    /**
     * Puts a row that a call of this router returned into the copy, unless the copy is newer.
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
     * Notes that the store answered a call.
     *
     * @param sentNanos time the call was sent, by the timer service
     */
    public void recordAnswer(long sentNanos) {
        lastAnswerNanos = Math.max(lastAnswerNanos, sentNanos);
        checkContact();
    }

    /** Polls at once, or again right after the poll in flight. */
    public void requestPoll() {
        if (stopped) {
            return;
        }
        if (polling) {
            pollAgain = true;
            return;
        }
        if (nextPoll != null) {
            nextPoll.cancel();
        }
        poll();
    }

    private void poll() {
        if (stopped || polling) {
            return;
        }
        polling = true;
        pollAgain = false;
        long sentNanos = timer.nowNanos();
        store.changes(settings.prefixes(), revision, result -> polled(sentNanos, result));
    }

    private void polled(long sentNanos, Either<StoreException, RowChanges> result) {
        polling = false;
        if (stopped) {
            finishStop();
            return;
        }
        if (result.isRight()) {
            failures = 0;
            merge(sentNanos, result.get());
            recordAnswer(sentNanos);
            listeners.forEach(Runnable::run);
        } else {
            failures++;
            checkContact();
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
        if (stopped || polling) {
            return;
        }
        if (pollAgain) {
            poll();
            return;
        }
        long period = settings.period().toNanos();
        long delay;
        if (failures == 0) {
            long elapsed = timer.nowNanos() - sentNanos;
            delay = Math.max(0, Math.round(period * (0.9 + 0.2 * random.nextDouble())) - elapsed);
        } else {
            long ceiling = Math.min(settings.maxBackoff().toNanos(), period << Math.min(failures - 1, 10));
            delay = ceiling / 2 + Math.round(ceiling * 0.5 * random.nextDouble());
        }
        nextPoll = timer.scheduleOnce("store poll", Duration.ofNanos(delay), this::poll);
    }

    private void checkContact() {
        long now = timer.nowNanos();
        boolean recent =
                complete && now - lastAnswerNanos < settings.outageTimeout().toNanos();
        if (recent != reachable) {
            reachable = recent;
            changedNanos = now;
            timeline.record(TimelineEvent.of(
                    recent ? EventKind.STORE_REACHED : EventKind.STORE_LOST,
                    "sinceAnswerMillis",
                    Duration.ofNanos(now - lastAnswerNanos).toMillis()));
        }
        boolean settled =
                reachable && now - changedNanos >= settings.settlingTime().toNanos();
        if (settled) {
            lastSettledNanos = now;
        }
        blackboard.write(StoreConnectivity.TOPIC, new StoreConnectivity(reachable, settled, lastAnswerNanos, lastSettledNanos));
    }

    private void finishStop() {
        if (stopCallback != null) {
            Runnable callback = stopCallback;
            stopCallback = null;
            callback.run();
        }
    }
}
