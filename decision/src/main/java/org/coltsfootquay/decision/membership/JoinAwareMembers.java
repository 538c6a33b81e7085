package org.coltsfootquay.decision.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.StoreWatcher;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Routers whose view of the fleet surely contains this router.
 *
 * <p>A holder that relies on an outage of the store asks only the routers in its last view. A router that joined after
 * that view was read must not claim from it. A router that renewed its lease after this one joined has read this one's
 * row, because a renewal is sent only shortly after a poll. One read of all rows, a lease and a poll after the join,
 * shows which routers renewed since; routers that join later read this one's row first. In small regions the rows say
 * earlier which members a router has read.
 */
public final class JoinAwareMembers {

    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final TableStore store;
    private final StoreWatcher watcher;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final MembershipSettings settings;
    private final Map<RouterId, Long> incarnations = new HashMap<>();
    private TimerService.ScheduledTask subscription;
    private long joinedIncarnation;
    private long joinedNanos;
    private boolean complete;
    private boolean reading;

    /**
     * Creates an empty set that does nothing until {@link #start()}.
     *
     * @param store table service
     * @param watcher copy of the watched rows
     * @param timer timer service
     * @param blackboard blackboard with {@link LeaseState#TOPIC} and {@link MembershipView#TOPIC}
     * @param settings settings of the membership controller
     */
    public JoinAwareMembers(
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

    /** Begins to follow the membership. */
    public void start() {
        subscription = timer.schedulePeriodic("established members", PERIOD, this::check);
        blackboard.cell(MembershipView.TOPIC).subscribe(this::viewChanged);
    }

    /**
     * Stops.
     *
     * @param callback called once
     */
    public void stop(Runnable callback) {
        if (subscription != null) {
            subscription.cancel();
        }
        callback.run();
    }

    /**
     * Tells whether a router's last view surely contains this router.
     *
     * @param router router
     * @param incarnation incarnation of the router
     * @return true if it does; false if that is not known
     */
    public boolean contains(RouterId router, long incarnation) {
        return incarnations.getOrDefault(router, 0L) == incarnation;
    }

    private void check() {
        LeaseState lease = blackboard.read(LeaseState.TOPIC);
        long now = timer.nowNanos();
        if (!lease.valid(now)) {
            return;
        }
        if (lease.incarnation() != joinedIncarnation) {
            joinedIncarnation = lease.incarnation();
            joinedNanos = now;
            complete = false;
            incarnations.clear();
        }
        Duration wait = settings.timeToLive().plus(settings.maxPollAgeForRenewal()).plus(PERIOD);
        if (!complete && !reading && now - joinedNanos >= wait.toNanos()) {
            readAll();
        }
    }

    private void readAll() {
        reading = true;
        long incarnation = joinedIncarnation;
        store.changes(List.of(MemberRow.PREFIX), 0, result -> {
            reading = false;
            if (result.isRight() && incarnation == joinedIncarnation) {
                complete = true;
                result.get().rows().stream()
                        .filter(row -> !row.expired() && !row.deleted())
                        .forEach(this::add);
            }
        });
    }

    private void add(Row row) {
        Member member = MemberRow.of(row).member();
        incarnations.merge(member.id(), member.incarnation(), Math::max);
    }

    private void viewChanged(MembershipView view) {
        Member self = view.members().get(settings.id());
        if (self == null || self.incarnation() != joinedIncarnation) {
            return;
        }
        for (Row row : watcher.rows(MemberRow.PREFIX)) {
            if (!row.expired() && MemberRow.of(row).seenRevision() >= self.joinRevision()) {
                add(row);
            }
        }
        view.members().values().stream()
                .filter(member -> member.joinRevision() > self.joinRevision())
                .forEach(member -> incarnations.merge(member.id(), member.incarnation(), Math::max));
    }
}
