package org.coltsfootquay.decision.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.Service;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.membership.AdmissionPermit;
import org.coltsfootquay.decision.membership.JoinAwareMembers;
import org.coltsfootquay.decision.membership.LeaseState;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MemberRow;
import org.coltsfootquay.decision.membership.MembershipController;
import org.coltsfootquay.decision.membership.MembershipSettings;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.membership.ShareValidity;
import org.coltsfootquay.decision.membership.TerminatedRouters;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.StoreConnectivity;
import org.coltsfootquay.decision.store.StoreWatcher;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Claims, holds and hands over backend servers, and publishes the owners of all servers.
 *
 * <p>Ownership is derived from the cached server rows: this router owns every server whose row names its current
 * incarnation, whichever write put it there. Single-threaded: calls and callbacks run on the thread that drives the
 * timer service.
 */
public final class OwnershipController {

    private final StoreWatcher watcher;
    private final MembershipController membership;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final TimelineSink timeline;
    private final ServerRows rows;
    private final ClaimPlanner claimPlanner;
    private final MembershipSettings self;
    private final OwnershipSettings settings;
    private final SharePolicy sharePolicy;
    private final TerminatedRouters terminatedRouters;
    private final ServerRowWriter writer;
    private final HandoverListener handoverListener;

    private final TreeMap<ServerName, HeldServer> heldServers = new TreeMap<>();
    private final Map<RouterId, Long> memberSinceNanos = new HashMap<>();
    private TimerService.ScheduledTask scheduledCheck;
    private boolean leaving;
    private boolean stopped;
    private FleetConfiguration evaluatedConfiguration = FleetConfiguration.none();
    private MembershipView evaluatedView = new MembershipView(Map.of(), 0);
    private LeaseState evaluatedLease;
    private long lostShareRevision;
    private long releaseDueNanos;
    private OwnedServers published = new OwnedServers(List.of());

    /**
     * Creates a controller, which stays idle until {@link #start()}.
     *
     * @param store table service
     * @param watcher cache of the watched rows
     * @param membership membership controller; notified when this router stopped using servers that others claimed
     * @param joinAwareMembers routers known to have read this router's join
     * @param terminatedRouters routers whose VM no longer exists
     * @param timer timer service
     * @param blackboard blackboard that receives {@link OwnerMap#TOPIC} and {@link OwnedServers#TOPIC}
     * @param timeline sink for timeline events
     * @param random random source for jitter
     * @param handoverListener listener for completed handovers
     * @param self identity of this router
     * @param settings settings
     */
    public OwnershipController(
            TableStore store,
            StoreWatcher watcher,
            MembershipController membership,
            JoinAwareMembers joinAwareMembers,
            TerminatedRouters terminatedRouters,
            TimerService timer,
            Blackboard blackboard,
            TimelineSink timeline,
            RandomGenerator random,
            HandoverListener handoverListener,
            MembershipSettings self,
            OwnershipSettings settings) {
        this.watcher = ArgumentUtils.requireValue(watcher, "watcher");
        this.membership = ArgumentUtils.requireValue(membership, "membership");
        this.terminatedRouters = ArgumentUtils.requireValue(terminatedRouters, "terminated routers");
        this.timer = ArgumentUtils.requireValue(timer, "timer");
        this.blackboard = ArgumentUtils.requireValue(blackboard, "blackboard");
        this.timeline = ArgumentUtils.requireValue(timeline, "timeline");
        this.handoverListener = ArgumentUtils.requireValue(handoverListener, "handover listener");
        this.self = ArgumentUtils.requireValue(self, "membership settings");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
        this.rows = new ServerRows(watcher);
        this.sharePolicy =
                new SharePolicy(blackboard, watcher, self.id(), self.region(), settings.maxOutageReportAge());
        this.claimPlanner = new ClaimPlanner(
                watcher, rows, joinAwareMembers, terminatedRouters, timer, blackboard, random, self, settings);
        this.writer = new ServerRowWriter(store, watcher, timer, settings);
    }

    /** Starts evaluating ownership periodically and on changes. */
    public void start() {
        watcher.subscribe(this::evaluate);
        blackboard.cell(LeaseState.TOPIC).subscribe(lease -> evaluate());
        blackboard.cell(ConfigurationTopic.IN_FORCE).subscribe(configuration -> evaluate());
        scheduledCheck = timer.schedulePeriodic("ownership", settings.checkPeriod(), this::evaluate);
    }

    /** Hands over all servers, stops claiming, and releases the servers that no other router can take. */
    public void leave() {
        leaving = true;
        evaluate();
    }

    /**
     * Tests whether this router holds any servers.
     *
     * @return true if a server row names this router or the outcome of a handover is unknown
     */
    public boolean holdsServers() {
        return !heldServers.isEmpty();
    }

    /**
     * Stops the controller; this router keeps its servers until its lease expires.
     *
     * @param callback invoked once when no write is in flight
     */
    public void stop(Runnable callback) {
        stopped = true;
        if (scheduledCheck != null) {
            scheduledCheck.cancel();
        }
        blackboard.write(OwnedServers.TOPIC, new OwnedServers(List.of()));
        writer.stop(callback);
    }

    private void evaluate() {
        if (stopped) {
            return;
        }
        long now = timer.nowNanos();
        FleetConfiguration configuration = blackboard.read(ConfigurationTopic.IN_FORCE);
        MembershipView view = blackboard.read(MembershipView.TOPIC);
        LeaseState lease = blackboard.read(LeaseState.TOPIC);
        boolean changed =
                rows.refresh() || !configuration.equals(evaluatedConfiguration) || !view.equals(evaluatedView);
        if (changed || !lease.equals(evaluatedLease)) {
            evaluatedConfiguration = configuration;
            evaluatedView = view;
            evaluatedLease = lease;
            updateMemberSince(view, now);
            updateHeldServers(lease, now);
            OwnerMap map = OwnerMapUtils.ownerMap(rows, configuration, view);
            if (!map.equals(blackboard.read(OwnerMap.TOPIC))) {
                blackboard.write(OwnerMap.TOPIC, map);
            }
            findLostShares(lease, now);
        }
        publishOwned(configuration, lease, now);
        announceRelease(lease, now);
        if (lease.valid(now) && watcher.completeAsOf(lease.confirmedNanos())) {
            claim(changed, configuration, view, lease);
            handOverAndPrune(configuration, view, now);
        }
    }

    private void updateMemberSince(MembershipView view, long now) {
        memberSinceNanos.keySet().retainAll(view.members().keySet());
        view.members().keySet().forEach(id -> memberSinceNanos.putIfAbsent(id, now));
    }

    private void updateHeldServers(LeaseState lease, long now) {
        boolean member = lease.phase() == LeaseState.Phase.HELD || lease.phase() == LeaseState.Phase.LAPSED;
        heldServers.entrySet().removeIf(entry -> {
            ServerRows.Entry row = rows.get(entry.getKey());
            boolean lost = !member || row == null || !row.content().heldBy(self.id(), lease.incarnation());
            if (lost) {
                record(
                        EventKind.SERVER_RELEASED,
                        entry.getKey(),
                        entry.getValue().fencingNumber,
                        "server row names another router");
            }
            return lost;
        });
        if (!member) {
            return;
        }
        rows.entries().forEach((server, row) -> {
            ServerRow content = row.content();
            if (content.heldBy(self.id(), lease.incarnation())) {
                HeldServer entry = heldServers.get(server);
                if (entry == null || entry.fencingNumber != content.fencingNumber()) {
                    entry = new HeldServer(content.fencingNumber(), now);
                    heldServers.put(server, entry);
                    record(EventKind.SERVER_CLAIMED, server, content.fencingNumber(), "share " + content.share());
                }
                entry.row = content;
            }
        });
    }

    private void record(EventKind kind, ServerName server, long fencingNumber, String reason) {
        timeline.record(TimelineEvent.of(
                kind, "server", server, "router", self.id(), "fencing", fencingNumber, "reason", reason));
    }

    private void publishOwned(FleetConfiguration configuration, LeaseState lease, long now) {
        boolean permitted = blackboard.read(AdmissionPermit.TOPIC).allows(now);
        boolean settled = blackboard.read(StoreConnectivity.TOPIC).settled();
        long horizon = now + settings.lookahead().toNanos();
        long expiry = lease.validUntilNanos() + self.safetyMargin().toNanos();
        boolean confirmed = lease.valid(horizon) && watcher.completeAsOf(lease.confirmedNanos());
        boolean outage = !confirmed && !heldServers.isEmpty() && sharePolicy.isRegionOutageConfirmed(expiry, horizon);
        List<OwnedServer> servers = new ArrayList<>();
        heldServers.forEach((name, entry) -> {
            entry.usable |= settled || entry.row.lapsed().isEmpty();
            BackendServer server = configuration.servers().get(name);
            if (server != null) {
                Service service = configuration.services().get(server.service());
                double share = entry.row.share();
                servers.add(new OwnedServer(
                        name,
                        server.service(),
                        service == null ? ServiceKind.MODEL : service.kind(),
                        server.address(),
                        entry.fencingNumber,
                        confirmed || outage ? share : SharePolicy.lapsedShare(share),
                        permitted && !entry.handingOver && entry.usable && configuration.admitsWork(name),
                        server.checksFencing(),
                        !entry.row.handedOver()));
            }
        });
        OwnedServers snapshot = new OwnedServers(servers);
        if (!snapshot.equals(published)) {
            published = snapshot;
            blackboard.write(OwnedServers.TOPIC, snapshot);
        }
        ShareValidity validity = new ShareValidity(
                confirmed
                        ? lease.validUntilNanos()
                        : outage ? sharePolicy.outageConfirmedUntilNanos() : Long.MAX_VALUE);
        if (!validity.equals(blackboard.read(ShareValidity.TOPIC))) {
            blackboard.write(ShareValidity.TOPIC, validity);
        }
    }

    /** Finds servers that other routers claimed while this router's lease had lapsed. */
    private void findLostShares(LeaseState lease, long now) {
        long newest = 0;
        for (ServerRows.Entry entry : rows.entries().values()) {
            boolean named = entry.content().lapsed().stream()
                    .anyMatch(
                            lapsed -> lapsed.router().equals(self.id()) && lapsed.incarnation() == lease.incarnation());
            newest = Math.max(newest, named ? entry.row().revision() : 0);
        }
        if (newest > lostShareRevision) {
            lostShareRevision = newest;
            releaseDueNanos = now + settings.grantTimeout().toNanos();
        }
    }

    /** Announces to claimants that this router no longer uses its lost servers, once all its grants have expired. */
    private void announceRelease(LeaseState lease, long now) {
        if (lostShareRevision > 0 && now >= releaseDueNanos && lease.phase() == LeaseState.Phase.HELD) {
            membership.announceReleased(lostShareRevision);
        }
    }

    private void claim(boolean changed, FleetConfiguration configuration, MembershipView view, LeaseState lease) {
        Member selfMember = view.members().get(self.id());
        if (leaving || selfMember == null || selfMember.incarnation() != lease.incarnation()) {
            return;
        }
        claimPlanner.refresh(changed, configuration, view);
        claimPlanner.duePlans(view).forEach((server, plan) -> {
            if (writer.canWrite(server)) {
                writer.claim(server, plan, self.id(), lease);
            }
        });
    }

    private void handOverAndPrune(FleetConfiguration configuration, MembershipView view, long now) {
        boolean zoneLeaving = !configuration.inService(self.zone());
        heldServers.forEach((name, entry) -> {
            Row row = rows.get(name).row();
            BackendServer server = configuration.servers().get(name);
            Optional<Member> target = server == null
                    ? Optional.empty()
                    : RendezvousUtils.preferredOwner(
                            server, configuration, view.members().values());
            Optional<Member> other = target.filter(member -> !member.id().equals(self.id()));
            boolean mustRelease = leaving || (server == null && configuration.version() > 0);
            if (entry.handingOver) {
                continueHandover(name, entry, row, other, mustRelease, now);
            } else if (mustRelease
                    || (other.isPresent() && (zoneLeaving || dwellTimeElapsed(entry, other.get(), now)))) {
                if (writer.canWrite(name) && handoversInProgress() < settings.maxConcurrentWrites()) {
                    entry.handingOver = true;
                    entry.handoverStartNanos = now;
                }
            } else {
                prune(name, entry, row, view);
            }
        });
    }

    private boolean dwellTimeElapsed(HeldServer entry, Member target, long now) {
        long dwell = settings.dwellTime().toNanos();
        return now - entry.sinceNanos >= dwell && now - memberSinceNanos.getOrDefault(target.id(), now) >= dwell;
    }

    private long handoversInProgress() {
        return heldServers.values().stream().filter(entry -> entry.handingOver).count();
    }

    private void continueHandover(
            ServerName name, HeldServer entry, Row row, Optional<Member> other, boolean mustRelease, long now) {
        if (now - entry.handoverStartNanos < settings.grantTimeout().toNanos() || !writer.canWrite(name)) {
            return;
        }
        if (other.isEmpty() && !mustRelease) {
            if (entry.handoverRevision != row.revision()) {
                entry.handingOver = false;
            } else {
                writer.rewriteUnchanged(name, row);
            }
            return;
        }
        entry.handoverRevision = row.revision();
        Optional<Row> targetRow = other.flatMap(member -> watcher.row(MemberRow.key(member.id())));
        writer.handOver(name, row, targetRow, () -> {
            if (targetRow.isPresent()) {
                handoverListener.handedOver(name, other.get().id(), entry.fencingNumber + 1);
            }
        });
    }

    private void prune(ServerName name, HeldServer entry, Row row, MembershipView view) {
        List<ServerRow.LapsedHolder> known = entry.row.lapsed().stream()
                .filter(lapsed -> !SharePolicy.hasReleasedShare(lapsed, row.revision(), view, watcher)
                        && (view.members().containsKey(lapsed.router())
                                || !terminatedRouters.contains(lapsed.router())))
                .toList();
        if (known.size() < entry.row.lapsed().size() && writer.canWrite(name)) {
            writer.prune(name, row, known);
        }
    }

    /** Server that this router holds, with the progress of its handover. */
    private static final class HeldServer {

        private final long fencingNumber;
        private final long sinceNanos;
        private ServerRow row;

        /** False after a claim that was applied before the connectivity settled; lapsed holders may use full shares. */
        private boolean usable;

        private boolean handingOver;

        /** Revision that the last handover was conditional on; while the row has it, the write may still be applied. */
        private long handoverRevision;

        private long handoverStartNanos;

        private HeldServer(long fencingNumber, long sinceNanos) {
            this.fencingNumber = fencingNumber;
            this.sinceNanos = sinceNanos;
        }
    }
}
