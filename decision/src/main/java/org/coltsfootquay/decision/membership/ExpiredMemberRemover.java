package org.coltsfootquay.decision.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowValue;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreConnectivity;
import org.coltsfootquay.decision.store.StoreWatcher;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Deletes the membership rows of expired routers, which makes their expiry visible as a change.
 *
 * <p>The expiry of a row is no change by itself, so each router reads the row of its successor on a ring over the
 * routers of its region once a second. When the successor has expired it deletes the row, on the condition that it
 * still is expired, and goes on with the next one. Rows that the first poll found expired are checked in the same way.
 */
public final class ExpiredMemberRemover {

    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final TableStore store;
    private final StoreWatcher watcher;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final MembershipSettings settings;

    private TimerService.ScheduledTask subscription;
    private long targetChanges = -1;
    private Optional<Row> target = Optional.empty();
    private boolean busy;
    private boolean stopped;
    private Runnable stopCallback;

    /**
     * Creates a remover that does nothing until {@link #start()}.
     *
     * @param store table service
     * @param watcher copy of the watched rows
     * @param timer timer service
     * @param blackboard blackboard with {@link LeaseState#TOPIC} and {@link StoreConnectivity#TOPIC}
     * @param settings settings of the membership controller
     */
    public ExpiredMemberRemover(
            TableStore store,
            StoreWatcher watcher,
            TimerService timer,
            Blackboard blackboard,
            MembershipSettings settings) {
        this.store = ArgumentUtils.requireValue(store, "store");
        this.watcher = ArgumentUtils.requireValue(watcher, "watcher");
        this.timer = ArgumentUtils.requireValue(timer, "timer");
        this.blackboard = ArgumentUtils.requireValue(blackboard, "blackboard");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
    }

    /** Begins to read the successor's row. */
    public void start() {
        subscription = timer.schedulePeriodic("expired members", PERIOD, this::check);
    }

    /**
     * Stops.
     *
     * @param callback called once when no call is in flight
     */
    public void stop(Runnable callback) {
        stopped = true;
        if (subscription != null) {
            subscription.cancel();
        }
        if (busy) {
            stopCallback = callback;
        } else {
            callback.run();
        }
    }

    private void check() {
        if (!busy && !stopped && mayRemove()) {
            if (watcher.changeCount() != targetChanges) {
                targetChanges = watcher.changeCount();
                target = watcher.rows(MemberRow.PREFIX).stream()
                        .filter(Row::expired)
                        .findFirst()
                        .or(this::successor);
            }
            target.ifPresent(row -> {
                busy = true;
                store.read(row.key(), result -> {
                    if (result.isLeft()) {
                        done();
                    } else if (result.get().isPresent() && !result.get().get().deleted()) {
                        found(result.get().get());
                    } else {
                        done();
                        watcher.requestPoll();
                    }
                });
            });
        }
    }

    private void found(Row row) {
        if (!row.expired()) {
            watcher.updateRow(row);
        }
        if (!row.expired() || stopped || !mayRemove()) {
            done();
            return;
        }
        RowWrite delete = new RowWrite.Delete(row.key(), new RowCondition.AbsentOrExpired());
        store.writeAtomically(List.of(delete), results -> {
            done();
            if (results.get(0).outcome() == WriteOutcome.APPLIED) {
                long revision = Math.max(results.get(0).revision(), row.revision());
                watcher.updateRow(new Row(row.key(), RowValue.empty(), revision, true, false));
                watcher.requestPoll();
                check();
            } else {
                results.get(0).current().ifPresent(watcher::updateRow);
            }
        });
    }

    private void done() {
        busy = false;
        if (stopped && stopCallback != null) {
            Runnable callback = stopCallback;
            stopCallback = null;
            callback.run();
        }
    }

    private boolean mayRemove() {
        return blackboard.read(StoreConnectivity.TOPIC).settled()
                && blackboard.read(LeaseState.TOPIC).valid(timer.nowNanos());
    }

    private Optional<Row> successor() {
        List<Row> ring = new ArrayList<>();
        String ownKey = MemberRow.key(settings.id());
        for (Row row : watcher.rows(MemberRow.PREFIX)) {
            if (row.key().equals(ownKey) || MemberRow.of(row).member().region().equals(settings.region())) {
                ring.add(row);
            }
        }
        ring.sort(
                Comparator.<Row>comparingLong(row -> HashUtils.hash(row.key())).thenComparing(Row::key));
        for (int i = 0; i < ring.size(); i++) {
            if (ring.get(i).key().equals(ownKey)) {
                return ring.size() == 1 ? Optional.empty() : Optional.of(ring.get((i + 1) % ring.size()));
            }
        }
        return Optional.empty();
    }
}
