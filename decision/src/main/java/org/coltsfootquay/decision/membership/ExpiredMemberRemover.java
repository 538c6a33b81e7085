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
 * Deletes the membership rows of expired routers, so that their expiry becomes visible as a change.
 *
 * <p>The expiry of a row is not reported as a change. Each router therefore reads the row of its successor once a
 * second, on a ring of the routers of its region. If that row has expired, the router deletes it on the condition that
 * it is still expired, and continues with the next successor. Rows that were already expired at the first poll are
 * handled in the same way.
 */
public final class ExpiredMemberRemover {

    private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);

    private final TableStore store;
    private final StoreWatcher watcher;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final MembershipSettings settings;

    private TimerService.ScheduledTask scheduledCheck;
    private long targetChangeCount = -1;
    private Optional<Row> target = Optional.empty();
    private boolean callInFlight;
    private boolean stopped;
    private Runnable stopCallback;

    /**
     * Creates a remover, which stays idle until {@link #start()}.
     *
     * @param store table service
     * @param watcher cache of the watched rows
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

    /** Starts reading the successor's row. */
    public void start() {
        scheduledCheck = timer.schedulePeriodic("expired members", CHECK_PERIOD, this::check);
    }

    /**
     * Stops the remover.
     *
     * @param callback invoked once when no call is in flight
     */
    public void stop(Runnable callback) {
        stopped = true;
        if (scheduledCheck != null) {
            scheduledCheck.cancel();
        }
        if (callInFlight) {
            stopCallback = callback;
        } else {
            callback.run();
        }
    }

    private void check() {
        if (!callInFlight && !stopped && canRemove()) {
            if (watcher.changeCount() != targetChangeCount) {
                targetChangeCount = watcher.changeCount();
                target = watcher.rows(MemberRow.PREFIX).stream()
                        .filter(Row::expired)
                        .findFirst()
                        .or(this::successor);
            }
            target.ifPresent(row -> {
                callInFlight = true;
                store.read(row.key(), result -> {
                    if (result.isLeft()) {
                        callFinished();
                    } else if (result.get().isPresent() && !result.get().get().deleted()) {
                        deleteIfExpired(result.get().get());
                    } else {
                        callFinished();
                        watcher.requestPoll();
                    }
                });
            });
        }
    }

    private void deleteIfExpired(Row row) {
        if (!row.expired()) {
            watcher.updateRow(row);
        }
        if (!row.expired() || stopped || !canRemove()) {
            callFinished();
            return;
        }
        RowWrite delete = new RowWrite.Delete(row.key(), new RowCondition.AbsentOrExpired());
        store.writeAtomically(List.of(delete), results -> {
            callFinished();
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

    private void callFinished() {
        callInFlight = false;
        if (stopped && stopCallback != null) {
            Runnable callback = stopCallback;
            stopCallback = null;
            callback.run();
        }
    }

    private boolean canRemove() {
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
