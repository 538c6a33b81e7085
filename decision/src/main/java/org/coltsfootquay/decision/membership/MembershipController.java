package org.coltsfootquay.decision.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.membership.LeaseState.Phase;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowValue;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreWatcher;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Takes and renews the lease of this router and publishes the members of the fleet.
 *
 * <p>Single-threaded: calls and callbacks run on the thread that drives the timer service. At most one write to the
 * router's row is in flight.
 */
public final class MembershipController {

    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final int DELETE_ATTEMPTS = 4;

    /** Size of a region up to which routers write whom they have read; 390 writes for each start would be too many. */
    private static final int LARGEST_ANNOUNCING_REGION = 32;

    private final TableStore store;
    private final StoreWatcher watcher;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final TimelineSink timeline;
    private final RandomGenerator random;
    private final MembershipSettings settings;
    private final String key;
    private final String instance;

    private TimerService.ScheduledTask check;
    private TimerService.ScheduledTask nextWrite;
    private Phase phase = Phase.NONE;
    private long incarnation;
    private long rowRevision;
    private long validUntilNanos;
    private long confirmedNanos;
    private long firstUnknownJoinNanos = Long.MAX_VALUE;
    private RowValue written = RowValue.empty();
    private long joinRevision;
    private long seenRevision;
    private long releasedRevision;
    private long publishedChanges = -1;
    private boolean leaving;
    private boolean writing;
    private boolean stopped;
    private Runnable stopCallback;
    private int deleteAttempts;

    /**
     * Creates a controller that does nothing until {@link #start()}.
     *
     * @param store table service
     * @param watcher copy of the watched rows
     * @param timer timer service
     * @param blackboard blackboard that receives {@link LeaseState#TOPIC} and {@link MembershipView#TOPIC}
     * @param timeline receiver of events
     * @param random source of jitter
     * @param settings settings
     */
    public MembershipController(
            TableStore store,
            StoreWatcher watcher,
            TimerService timer,
            Blackboard blackboard,
            TimelineSink timeline,
            RandomGenerator random,
            MembershipSettings settings) {
        this.store = ArgumentUtils.requireValue(store, "store");
        this.watcher = ArgumentUtils.requireValue(watcher, "watcher");
        this.timer = ArgumentUtils.requireValue(timer, "timer");
        this.blackboard = ArgumentUtils.requireValue(blackboard, "blackboard");
        this.timeline = ArgumentUtils.requireValue(timeline, "timeline");
        this.random = ArgumentUtils.requireValue(random, "random");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
        this.key = MemberRow.key(settings.id());
        this.instance = Long.toHexString(random.nextLong());
        this.incarnation = settings.firstIncarnation();
    }

    /** Begins to take the lease and to publish the members. */
    public void start() {
        watcher.subscribe(this::rowsChanged);
        check = timer.schedulePeriodic("lease check", CHECK_PERIOD, this::checkLapse);
        join();
    }

    /** Publishes to the other routers that this router is about to stop; the lease is renewed further. */
    public void leave() {
        leaving = true;
        writeSoon(Duration.ZERO);
    }

    /**
     * Publishes that this router stopped using all servers that others had claimed up to a revision.
     *
     * @param revision revision of the store
     */
    public void announceReleased(long revision) {
        if (revision > releasedRevision) {
            releasedRevision = revision;
            writeSoon(Duration.ZERO);
        }
    }

    /**
     * Ends the membership: deletes the row and stops.
     *
     * @param callback called once when the row was deleted or several attempts failed, in which case the row expires
     */
    public void stopAndDeregister(Runnable callback) {
        if (stopped) {
            callback.run();
            return;
        }
        stopped = true;
        stopCallback = callback;
        cancelTimers();
        if (!writing) {
            deleteRow();
        }
    }

    /**
     * Stops without a change of the row, which expires later.
     *
     * @param callback called once when no write is in flight
     */
    public void stop(Runnable callback) {
        deleteAttempts = DELETE_ATTEMPTS;
        stopAndDeregister(callback);
    }

    private void cancelTimers() {
        if (check != null) {
            check.cancel();
        }
        if (nextWrite != null) {
            nextWrite.cancel();
        }
    }

    private void writeSoon(Duration delay) {
        if (stopped || writing) {
            return;
        }
        if (nextWrite != null) {
            nextWrite.cancel();
        }
        nextWrite = timer.scheduleOnce("lease write", delay, this::write);
    }

    private void write() {
        if (stopped || writing) {
            return;
        }
        if (phase == Phase.NONE || phase == Phase.REPLACED) {
            join();
        } else if (!watcher.completeAsOf(
                timer.nowNanos() - settings.maxPollAgeForRenewal().toNanos())) {
            writeSoon(jittered(RETRY_DELAY));
        } else if (!written.equals(content().toValue())) {
            send(new RowWrite.Put(
                    key,
                    content().toValue(),
                    new RowCondition.RevisionIs(rowRevision),
                    Optional.of(settings.timeToLive())));
        } else {
            send(new RowWrite.Touch(key, new RowCondition.RevisionIs(rowRevision), settings.timeToLive()));
        }
    }

    private void join() {
        send(new RowWrite.Put(
                key, content().toValue(), new RowCondition.AbsentOrExpired(), Optional.of(settings.timeToLive())));
    }

    private MemberRow content() {
        Member member = new Member(
                settings.id(),
                incarnation,
                settings.zone(),
                settings.region(),
                settings.callerAddress(),
                settings.peerAddress(),
                leaving,
                joinRevision);
        return new MemberRow(member, instance, seenRevision, releasedRevision);
    }

    private void send(RowWrite write) {
        writing = true;
        long sentNanos = timer.nowNanos();
        store.writeAtomically(List.of(write), results -> answered(write, sentNanos, results.get(0)));
    }

    private void answered(RowWrite write, long sentNanos, WriteResult result) {
        writing = false;
        if (result.outcome() == WriteOutcome.APPLIED || result.current().isPresent()) {
            watcher.recordAnswer(sentNanos);
        }
        if (stopped) {
            deleteRow();
            return;
        }
        switch (result.outcome()) {
            case APPLIED -> applied(write, sentNanos, result);
            case NOT_APPLIED -> notApplied(result);
            default -> {
                if (phase == Phase.NONE || phase == Phase.REPLACED) {
                    firstUnknownJoinNanos = Math.min(firstUnknownJoinNanos, sentNanos);
                }
                writeSoon(jittered(RETRY_DELAY));
            }
        }
    }

    private void applied(RowWrite write, long sentNanos, WriteResult result) {
        if (write instanceof RowWrite.Put put) {
            rowRevision = result.revision();
            written = put.value();
            watcher.updateRow(new Row(key, put.value(), rowRevision, false, false));
        }
        held(sentNanos);
        writeSoon(written.equals(content().toValue()) ? jittered(settings.renewalPeriod()) : Duration.ZERO);
    }

    private void held(long sentNanos) {
        long now = timer.nowNanos();
        boolean joined = phase == Phase.NONE || phase == Phase.REPLACED;
        if (phase != Phase.HELD || now >= validUntilNanos) {
            confirmedNanos = now;
        }
        if (joined) {
            joinRevision = rowRevision;
            firstUnknownJoinNanos = Long.MAX_VALUE;
        }
        Phase before = phase;
        phase = Phase.HELD;
        validUntilNanos = Math.max(
                joined ? Long.MIN_VALUE : validUntilNanos,
                sentNanos + settings.timeToLive().minus(settings.safetyMargin()).toNanos());
        publishLease();
        publishView();
        if (before != Phase.HELD) {
            timeline.record(TimelineEvent.of(
                    EventKind.LEASE_TAKEN,
                    "router",
                    settings.id(),
                    "incarnation",
                    incarnation,
                    "reason",
                    joined ? "joined" : "renewed after lapse"));
            watcher.requestPoll();
        }
    }

    private void notApplied(WriteResult result) {
        Optional<Row> current = result.current().filter(row -> !row.deleted());
        if (current.isPresent()) {
            foundRow(current.get());
            return;
        }
        writing = true;
        store.read(key, read -> {
            writing = false;
            if (stopped) {
                deleteRow();
            } else if (read.isLeft()) {
                writeSoon(jittered(RETRY_DELAY));
            } else if (read.get().filter(row -> !row.deleted()).isPresent()) {
                foundRow(read.get().get());
            } else if (phase == Phase.HELD || phase == Phase.LAPSED) {
                replaced("row deleted");
            } else {
                writeSoon(jittered(RETRY_DELAY));
            }
        });
    }

    /** Handles a row that differs from what the write expected. */
    private void foundRow(Row row) {
        if (isOwn(row)) {
            boolean joining = phase == Phase.NONE || phase == Phase.REPLACED;
            boolean moved = row.revision() != rowRevision;
            rowRevision = row.revision();
            written = row.value();
            watcher.updateRow(row);
            if (joining && !row.expired() && firstUnknownJoinNanos != Long.MAX_VALUE) {
                held(firstUnknownJoinNanos);
            }
            writeSoon(moved ? Duration.ZERO : jittered(RETRY_DELAY));
            return;
        }
        long other = MemberRow.of(row).member().incarnation();
        if (phase == Phase.HELD || phase == Phase.LAPSED) {
            incarnation = Math.max(incarnation, other);
            replaced("row taken by another process");
        } else {
            incarnation = Math.max(incarnation, other + 1);
            writeSoon(jittered(RETRY_DELAY));
        }
    }

    private boolean isOwn(Row row) {
        MemberRow found = MemberRow.of(row);
        return found.instance().equals(instance) && found.member().incarnation() == incarnation;
    }

    private void replaced(String reason) {
        timeline.record(TimelineEvent.of(
                EventKind.LEASE_LOST, "router", settings.id(), "incarnation", incarnation, "reason", reason));
        phase = Phase.REPLACED;
        publishLease();
        incarnation++;
        rowRevision = 0;
        joinRevision = 0;
        releasedRevision = 0;
        firstUnknownJoinNanos = Long.MAX_VALUE;
        writeSoon(settings.grantTimeout());
    }

    private void checkLapse() {
        if (phase == Phase.HELD && timer.nowNanos() >= validUntilNanos) {
            phase = Phase.LAPSED;
            timeline.record(TimelineEvent.of(
                    EventKind.LEASE_LOST, "router", settings.id(), "incarnation", incarnation, "reason", "lapsed"));
            publishLease();
        }
    }

    private void rowsChanged() {
        checkLapse();
        boolean member = phase == Phase.HELD || phase == Phase.LAPSED;
        if (member && !writing && watcher.revision() >= rowRevision) {
            Optional<Row> own = watcher.row(key);
            if (own.isEmpty()) {
                replaced("row deleted");
            } else if (!isOwn(own.get())) {
                incarnation =
                        Math.max(incarnation, MemberRow.of(own.get()).member().incarnation());
                replaced("row taken by another process");
            }
        }
        publishView();
    }

    private void publishView() {
        if (watcher.changeCount() == publishedChanges) {
            return;
        }
        publishedChanges = watcher.changeCount();
        Map<RouterId, Member> members = new HashMap<>();
        for (Row row : watcher.rows(MemberRow.PREFIX)) {
            if (!row.expired()) {
                Member member = MemberRow.of(row).member();
                members.put(member.id(), member);
            }
        }
        MembershipView view = new MembershipView(members, watcher.revision());
        noteSeen(view);
        if (!view.equals(blackboard.read(MembershipView.TOPIC))) {
            blackboard.write(MembershipView.TOPIC, view);
        }
    }

    /** Writes the newest member that this router has read, so that the member may rely on being known. */
    private void noteSeen(MembershipView view) {
        long seen = view.members().values().stream()
                .filter(member -> member.region().equals(settings.region()))
                .mapToLong(Member::joinRevision)
                .filter(joined -> joined <= watcher.revision())
                .max()
                .orElse(0);
        if (phase == Phase.HELD
                && seen > seenRevision
                && view.ranked(settings.region()).size() <= LARGEST_ANNOUNCING_REGION) {
            seenRevision = seen;
            writeSoon(Duration.ofNanos(Math.round(RETRY_DELAY.toNanos() * random.nextDouble())));
        }
    }

    private void publishLease() {
        blackboard.write(
                LeaseState.TOPIC, new LeaseState(phase, incarnation, rowRevision, validUntilNanos, confirmedNanos));
    }

    private void deleteRow() {
        boolean present = phase == Phase.HELD || phase == Phase.LAPSED;
        if (!present || deleteAttempts >= DELETE_ATTEMPTS) {
            finishStop();
            return;
        }
        deleteAttempts++;
        RowWrite delete = new RowWrite.Delete(key, new RowCondition.RevisionIs(rowRevision));
        store.writeAtomically(List.of(delete), results -> {
            if (results.get(0).outcome() == WriteOutcome.APPLIED) {
                finishStop();
            } else {
                results.get(0).current().filter(this::isOwn).ifPresent(row -> rowRevision = row.revision());
                timer.scheduleOnce("delete membership", RETRY_DELAY, this::deleteRow);
            }
        });
    }

    private void finishStop() {
        phase = Phase.ENDED;
        publishLease();
        if (stopCallback != null) {
            Runnable callback = stopCallback;
            stopCallback = null;
            callback.run();
        }
    }

    private Duration jittered(Duration duration) {
        return Duration.ofNanos(Math.round(duration.toNanos() * (0.8 + 0.2 * random.nextDouble())));
    }
}
