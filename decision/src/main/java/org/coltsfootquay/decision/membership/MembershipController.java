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
 * Acquires and renews the lease of this router and publishes the members of the fleet.
 *
 * <p>Single-threaded: calls and callbacks run on the thread that drives the timer service. At most one write to the
 * router's row is in flight.
 */
public final class MembershipController {

    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final int MAX_DELETE_ATTEMPTS = 4;

    /**
     * Maximum size of a region whose routers announce which members they have read. In larger regions a single start of
     * a router would cause too many writes, for example 390.
     */
    private static final int MAX_ANNOUNCING_REGION_SIZE = 32;

    private final TableStore store;
    private final StoreWatcher watcher;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final TimelineSink timeline;
    private final RandomGenerator random;
    private final MembershipSettings settings;
    private final String key;
    private final String instance;

    private TimerService.ScheduledTask lapseCheck;
    private TimerService.ScheduledTask nextWrite;
    private Phase phase = Phase.NONE;
    private long incarnation;
    private long rowRevision;
    private long validUntilNanos;
    private long confirmedNanos;
    private long firstUnresolvedJoinNanos = Long.MAX_VALUE;
    private RowValue writtenValue = RowValue.empty();
    private long joinRevision;
    private long seenRevision;
    private long releasedRevision;
    private long publishedChangeCount = -1;
    private boolean leaving;
    private boolean callInFlight;
    private boolean stopped;
    private Runnable stopCallback;
    private int deleteAttempts;

    /**
     * Creates a controller, which stays idle until {@link #start()}.
     *
     * @param store table service
     * @param watcher cache of the watched rows
     * @param timer timer service
     * @param blackboard blackboard that receives {@link LeaseState#TOPIC} and {@link MembershipView#TOPIC}
     * @param timeline sink for timeline events
     * @param random random source for jitter
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

    /** Starts acquiring the lease and publishing the members. */
    public void start() {
        watcher.subscribe(this::rowsChanged);
        lapseCheck = timer.schedulePeriodic("lease check", CHECK_PERIOD, this::checkLeaseLapse);
        join();
    }

    /** Announces to the other routers that this router is about to stop; the lease continues to be renewed. */
    public void leave() {
        leaving = true;
        scheduleWrite(Duration.ZERO);
    }

    /**
     * Announces that this router stopped using all servers that others had claimed up to a revision.
     *
     * @param revision store revision
     */
    public void announceReleased(long revision) {
        if (revision > releasedRevision) {
            releasedRevision = revision;
            scheduleWrite(Duration.ZERO);
        }
    }

    /**
     * Deletes the membership row and stops the controller.
     *
     * @param callback invoked once the row was deleted, or after several failed attempts, in which case the row expires
     */
    public void stopAndDeregister(Runnable callback) {
        if (stopped) {
            callback.run();
            return;
        }
        stopped = true;
        stopCallback = callback;
        cancelTimers();
        if (!callInFlight) {
            deleteRow();
        }
    }

    /**
     * Stops the controller without changing the row, which expires later.
     *
     * @param callback invoked once when no write is in flight
     */
    public void stop(Runnable callback) {
        deleteAttempts = MAX_DELETE_ATTEMPTS;
        stopAndDeregister(callback);
    }

    private void cancelTimers() {
        if (lapseCheck != null) {
            lapseCheck.cancel();
        }
        if (nextWrite != null) {
            nextWrite.cancel();
        }
    }

    private void scheduleWrite(Duration delay) {
        if (stopped || callInFlight) {
            return;
        }
        if (nextWrite != null) {
            nextWrite.cancel();
        }
        nextWrite = timer.scheduleOnce("lease write", delay, this::write);
    }

    private void write() {
        if (stopped || callInFlight) {
            return;
        }
        if (phase == Phase.NONE || phase == Phase.REPLACED) {
            join();
        } else if (!watcher.completeAsOf(
                timer.nowNanos() - settings.maxPollAgeForRenewal().toNanos())) {
            scheduleWrite(jittered(RETRY_DELAY));
        } else if (!writtenValue.equals(content().toValue())) {
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
        callInFlight = true;
        long sentNanos = timer.nowNanos();
        store.writeAtomically(List.of(write), results -> handleResult(write, sentNanos, results.get(0)));
    }

    private void handleResult(RowWrite write, long sentNanos, WriteResult result) {
        callInFlight = false;
        if (result.outcome() == WriteOutcome.APPLIED || result.current().isPresent()) {
            watcher.recordResponse(sentNanos);
        }
        if (stopped) {
            deleteRow();
            return;
        }
        switch (result.outcome()) {
            case APPLIED -> handleApplied(write, sentNanos, result);
            case NOT_APPLIED -> handleNotApplied(result);
            default -> {
                if (phase == Phase.NONE || phase == Phase.REPLACED) {
                    firstUnresolvedJoinNanos = Math.min(firstUnresolvedJoinNanos, sentNanos);
                }
                scheduleWrite(jittered(RETRY_DELAY));
            }
        }
    }

    private void handleApplied(RowWrite write, long sentNanos, WriteResult result) {
        if (write instanceof RowWrite.Put put) {
            rowRevision = result.revision();
            writtenValue = put.value();
            watcher.updateRow(new Row(key, put.value(), rowRevision, false, false));
        }
        handleLeaseConfirmed(sentNanos);
        scheduleWrite(writtenValue.equals(content().toValue()) ? jittered(settings.renewalPeriod()) : Duration.ZERO);
    }

    private void handleLeaseConfirmed(long sentNanos) {
        long now = timer.nowNanos();
        boolean joined = phase == Phase.NONE || phase == Phase.REPLACED;
        if (phase != Phase.HELD || now >= validUntilNanos) {
            confirmedNanos = now;
        }
        if (joined) {
            joinRevision = rowRevision;
            firstUnresolvedJoinNanos = Long.MAX_VALUE;
        }
        Phase previousPhase = phase;
        phase = Phase.HELD;
        validUntilNanos = Math.max(
                joined ? Long.MIN_VALUE : validUntilNanos,
                sentNanos + settings.timeToLive().minus(settings.safetyMargin()).toNanos());
        publishLease();
        publishView();
        if (previousPhase != Phase.HELD) {
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

    private void handleNotApplied(WriteResult result) {
        Optional<Row> current = result.current().filter(row -> !row.deleted());
        if (current.isPresent()) {
            handleCurrentRow(current.get());
            return;
        }
        callInFlight = true;
        store.read(key, read -> {
            callInFlight = false;
            if (stopped) {
                deleteRow();
            } else if (read.isLeft()) {
                scheduleWrite(jittered(RETRY_DELAY));
            } else if (read.get().filter(row -> !row.deleted()).isPresent()) {
                handleCurrentRow(read.get().get());
            } else if (phase == Phase.HELD || phase == Phase.LAPSED) {
                handleReplaced("row deleted");
            } else {
                scheduleWrite(jittered(RETRY_DELAY));
            }
        });
    }

    /** Handles a row that did not meet the condition of a write. */
    private void handleCurrentRow(Row row) {
        if (isOwn(row)) {
            boolean joining = phase == Phase.NONE || phase == Phase.REPLACED;
            boolean revisionChanged = row.revision() != rowRevision;
            rowRevision = row.revision();
            writtenValue = row.value();
            watcher.updateRow(row);
            if (joining && !row.expired() && firstUnresolvedJoinNanos != Long.MAX_VALUE) {
                handleLeaseConfirmed(firstUnresolvedJoinNanos);
            }
            scheduleWrite(revisionChanged ? Duration.ZERO : jittered(RETRY_DELAY));
            return;
        }
        long otherIncarnation = MemberRow.of(row).member().incarnation();
        if (phase == Phase.HELD || phase == Phase.LAPSED) {
            incarnation = Math.max(incarnation, otherIncarnation);
            handleReplaced("row replaced by another process");
        } else {
            incarnation = Math.max(incarnation, otherIncarnation + 1);
            scheduleWrite(jittered(RETRY_DELAY));
        }
    }

    private boolean isOwn(Row row) {
        MemberRow found = MemberRow.of(row);
        return found.instance().equals(instance) && found.member().incarnation() == incarnation;
    }

    private void handleReplaced(String reason) {
        timeline.record(TimelineEvent.of(
                EventKind.LEASE_LOST, "router", settings.id(), "incarnation", incarnation, "reason", reason));
        phase = Phase.REPLACED;
        publishLease();
        incarnation++;
        rowRevision = 0;
        joinRevision = 0;
        releasedRevision = 0;
        firstUnresolvedJoinNanos = Long.MAX_VALUE;
        scheduleWrite(settings.grantTimeout());
    }

    private void checkLeaseLapse() {
        if (phase == Phase.HELD && timer.nowNanos() >= validUntilNanos) {
            phase = Phase.LAPSED;
            timeline.record(TimelineEvent.of(
                    EventKind.LEASE_LOST, "router", settings.id(), "incarnation", incarnation, "reason", "lapsed"));
            publishLease();
        }
    }

    private void rowsChanged() {
        checkLeaseLapse();
        boolean member = phase == Phase.HELD || phase == Phase.LAPSED;
        if (member && !callInFlight && watcher.revision() >= rowRevision) {
            Optional<Row> own = watcher.row(key);
            if (own.isEmpty()) {
                handleReplaced("row deleted");
            } else if (!isOwn(own.get())) {
                incarnation =
                        Math.max(incarnation, MemberRow.of(own.get()).member().incarnation());
                handleReplaced("row replaced by another process");
            }
        }
        publishView();
    }

    private void publishView() {
        if (watcher.changeCount() == publishedChangeCount) {
            return;
        }
        publishedChangeCount = watcher.changeCount();
        Map<RouterId, Member> members = new HashMap<>();
        for (Row row : watcher.rows(MemberRow.PREFIX)) {
            if (!row.expired()) {
                Member member = MemberRow.of(row).member();
                members.put(member.id(), member);
            }
        }
        MembershipView view = new MembershipView(members, watcher.revision());
        announceSeenMembers(view);
        if (!view.equals(blackboard.read(MembershipView.TOPIC))) {
            blackboard.write(MembershipView.TOPIC, view);
        }
    }

    /** Announces the newest member in this router's view, so that the member knows that its row was read here. */
    private void announceSeenMembers(MembershipView view) {
        long seen = view.members().values().stream()
                .filter(member -> member.region().equals(settings.region()))
                .mapToLong(Member::joinRevision)
                .filter(joined -> joined <= watcher.revision())
                .max()
                .orElse(0);
        if (phase == Phase.HELD
                && seen > seenRevision
                && view.ranked(settings.region()).size() <= MAX_ANNOUNCING_REGION_SIZE) {
            seenRevision = seen;
            scheduleWrite(Duration.ofNanos(Math.round(RETRY_DELAY.toNanos() * random.nextDouble())));
        }
    }

    private void publishLease() {
        blackboard.write(
                LeaseState.TOPIC, new LeaseState(phase, incarnation, rowRevision, validUntilNanos, confirmedNanos));
    }

    private void deleteRow() {
        boolean rowPresent = phase == Phase.HELD || phase == Phase.LAPSED;
        if (!rowPresent || deleteAttempts >= MAX_DELETE_ATTEMPTS) {
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
