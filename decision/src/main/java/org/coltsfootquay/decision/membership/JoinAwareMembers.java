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
 * Routers whose view of the fleet is known to contain this router.
 *
 * <p>A server holder that relies on a store outage considers only the routers in its last view. A router that joined
 * after that view was read must therefore not claim servers from that holder.
 *
 * <p>A router that renewed its lease after this router joined has read this router's row, because a renewal is sent
 * only shortly after a poll. One read of all rows, made one lease time and one poll after the join, shows which routers
 * have renewed since. Routers that join later read this router's row first. In small regions, the rows state earlier
 * which members a router has read.
 */
public final class JoinAwareMembers {

    private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);

    private final TableStore store;
    private final StoreWatcher watcher;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final MembershipSettings settings;
    private final Map<RouterId, Long> incarnations = new HashMap<>();
    private TimerService.ScheduledTask scheduledCheck;
    private long joinedIncarnation;
    private long joinedNanos;
    private boolean readComplete;
    private boolean readInFlight;

    /**
     * Creates an empty set, which stays idle until {@link #start()}.
     *
     * @param store table service
     * @param watcher cache of the watched rows
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

    /** Starts following membership changes. */
    public void start() {
        scheduledCheck = timer.schedulePeriodic("join-aware members", CHECK_PERIOD, this::check);
        blackboard.cell(MembershipView.TOPIC).subscribe(this::viewChanged);
    }

    /**
     * Stops following membership changes.
     *
     * @param callback invoked once
     */
    public void stop(Runnable callback) {
        if (scheduledCheck != null) {
            scheduledCheck.cancel();
        }
        callback.run();
    }

    /**
     * Tests whether the last view of a router is known to contain this router.
     *
     * @param router router
     * @param incarnation incarnation of the router
     * @return true if it is known to contain this router; false otherwise
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
            readComplete = false;
            incarnations.clear();
            // Views that were published since the join came before the incarnation was known here.
            viewChanged(blackboard.read(MembershipView.TOPIC));
        }
        Duration delay =
                settings.timeToLive().plus(settings.maxPollAgeForRenewal()).plus(CHECK_PERIOD);
        if (!readComplete && !readInFlight && now - joinedNanos >= delay.toNanos()) {
            readAll();
        }
    }

    private void readAll() {
        readInFlight = true;
        long incarnation = joinedIncarnation;
        store.changes(List.of(MemberRow.PREFIX), 0, result -> {
            readInFlight = false;
            if (result.isRight() && incarnation == joinedIncarnation) {
                readComplete = true;
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
