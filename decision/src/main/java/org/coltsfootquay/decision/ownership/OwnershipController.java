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
import org.coltsfootquay.decision.membership.JoinAwareMembers;
import org.coltsfootquay.decision.membership.TerminatedRouters;
import org.coltsfootquay.decision.membership.LeaseState;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MemberRow;
import org.coltsfootquay.decision.membership.MembershipController;
import org.coltsfootquay.decision.membership.MembershipSettings;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.membership.ShareValidity;
import org.coltsfootquay.decision.membership.AdmissionPermit;
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
 * <p>What this router owns is derived from the copy of the server rows: a row that names this router's incarnation is
 * owned, however it came to be. Single-threaded: calls and callbacks run on the thread that drives the timer service.
 */
public final class OwnershipController {

    private final StoreWatcher watcher;
    private final MembershipController membership;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final TimelineSink timeline;
    private final ServerRows rows;
    private final ClaimPlanner claims;
    private final MembershipSettings self;
    private final OwnershipSettings settings;
    private final SharePolicy shareRule;
    private final TerminatedRouters gone;
    private final ServerRowWriter writer;
    private final HandoverListener handovers;

    private final TreeMap<ServerName, Held> held = new TreeMap<>();
    private final Map<RouterId, Long> memberSince = new HashMap<>();
    private TimerService.ScheduledTask subscription;
    private boolean leaving;
    private boolean stopped;
    private FleetConfiguration evaluated = FleetConfiguration.none();
    private MembershipView evaluatedView = new MembershipView(Map.of(), 0);
    private LeaseState evaluatedLease;
    private long lostRevision;
    private long releaseAtNanos;
    private OwnedServers published = new OwnedServers(List.of());

    /**
     * Creates a controller that does nothing until {@link #start()}.
     *
     * @param store table service
     * @param watcher copy of the watched rows
     * @param membership membership of this router, told when the router stopped using servers that others claimed
     * @param established routers that surely know this one
     * @param gone routers whose VM is gone
     * @param timer timer service
     * @param blackboard blackboard that receives {@link OwnerMap#TOPIC} and {@link OwnedServers#TOPIC}
     * @param timeline receiver of events
     * @param random source of jitter
     * @param handovers receiver of completed handovers
     * @param self identity of this router
     * @param settings settings
     */
    public OwnershipController(
            TableStore store,
            StoreWatcher watcher,
            MembershipController membership,
            JoinAwareMembers established,
            TerminatedRouters gone,
            TimerService timer,
            Blackboard blackboard,
            TimelineSink timeline,
            RandomGenerator random,
            HandoverListener handovers,
            MembershipSettings self,
            OwnershipSettings settings) {
        this.watcher = ArgumentUtils.requireValue(watcher, "watcher");
        this.membership = ArgumentUtils.requireValue(membership, "membership");
        this.gone = ArgumentUtils.requireValue(gone, "gone routers");
        this.timer = ArgumentUtils.requireValue(timer, "timer");
        this.blackboard = ArgumentUtils.requireValue(blackboard, "blackboard");
        this.timeline = ArgumentUtils.requireValue(timeline, "timeline");
        this.handovers = ArgumentUtils.requireValue(handovers, "handover listener");
        this.self = ArgumentUtils.requireValue(self, "membership settings");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
        this.rows = new ServerRows(watcher);
        this.shareRule = new SharePolicy(blackboard, watcher, self.id(), self.region(), settings.maxOutageReportAge());
        this.claims = new ClaimPlanner(watcher, rows, established, gone, timer, blackboard, random, self, settings);
        this.writer = new ServerRowWriter(store, watcher, timer, settings);
    }

    /** Begins to evaluate. */
    public void start() {
        watcher.subscribe(this::evaluate);
        blackboard.cell(LeaseState.TOPIC).subscribe(lease -> evaluate());
        blackboard.cell(ConfigurationTopic.IN_FORCE).subscribe(configuration -> evaluate());
        subscription = timer.schedulePeriodic("ownership", settings.checkPeriod(), this::evaluate);
    }

    /** Hands all servers over, claims no further ones, and releases those that no other router can take. */
    public void leave() {
        leaving = true;
        evaluate();
    }

    /**
     * Tells whether this router holds any server.
     *
     * @return true if a row names this router or a handover is not resolved
     */
    public boolean holdsServers() {
        return !held.isEmpty();
    }

    /**
     * Stops; the servers stay with this router until its lease expires.
     *
     * @param callback called once when no write is in flight
     */
    public void stop(Runnable callback) {
        stopped = true;
        if (subscription != null) {
            subscription.cancel();
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
        boolean changed = rows.refresh() || !configuration.equals(evaluated) || !view.equals(evaluatedView);
        if (changed || !lease.equals(evaluatedLease)) {
            evaluated = configuration;
            evaluatedView = view;
            evaluatedLease = lease;
            noteMembers(view, now);
            updateHeld(lease, now);
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
            maintain(configuration, view, now);
        }
    }

    private void noteMembers(MembershipView view, long now) {
        memberSince.keySet().retainAll(view.members().keySet());
        view.members().keySet().forEach(id -> memberSince.putIfAbsent(id, now));
    }

    private void updateHeld(LeaseState lease, long now) {
        boolean member = lease.phase() == LeaseState.Phase.HELD || lease.phase() == LeaseState.Phase.LAPSED;
        held.entrySet().removeIf(entry -> {
            ServerRows.Entry row = rows.get(entry.getKey());
            boolean lost = !member || row == null || !row.content().heldBy(self.id(), lease.incarnation());
            if (lost) {
                record(EventKind.SERVER_RELEASED, entry.getKey(), entry.getValue().fencingNumber, "row names another");
            }
            return lost;
        });
        if (!member) {
            return;
        }
        rows.entries().forEach((server, row) -> {
            ServerRow content = row.content();
            if (content.heldBy(self.id(), lease.incarnation())) {
                Held entry = held.get(server);
                if (entry == null || entry.fencingNumber != content.fencingNumber()) {
                    entry = new Held(content.fencingNumber(), now);
                    held.put(server, entry);
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
        boolean outage = !confirmed && !held.isEmpty() && shareRule.isRegionOutageConfirmed(expiry, horizon);
        List<OwnedServer> servers = new ArrayList<>();
        held.forEach((name, entry) -> {
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
                        permitted && !entry.stopping && entry.usable && configuration.admitsWork(name),
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
                confirmed ? lease.validUntilNanos() : outage ? shareRule.outageConfirmedUntilNanos() : Long.MAX_VALUE);
        if (!validity.equals(blackboard.read(ShareValidity.TOPIC))) {
            blackboard.write(ShareValidity.TOPIC, validity);
        }
    }

    /** Finds servers that others claimed while this router's lease was lapsed. */
    private void findLostShares(LeaseState lease, long now) {
        long newest = 0;
        for (ServerRows.Entry entry : rows.entries().values()) {
            boolean named = entry.content().lapsed().stream()
                    .anyMatch(
                            lapsed -> lapsed.router().equals(self.id()) && lapsed.incarnation() == lease.incarnation());
            newest = Math.max(newest, named ? entry.row().revision() : 0);
        }
        if (newest > lostRevision) {
            lostRevision = newest;
            releaseAtNanos = now + settings.grantTimeout().toNanos();
        }
    }

    /** Tells claimants that this router no longer uses the servers that it lost, when all its grants have lapsed. */
    private void announceRelease(LeaseState lease, long now) {
        if (lostRevision > 0 && now >= releaseAtNanos && lease.phase() == LeaseState.Phase.HELD) {
            membership.announceReleased(lostRevision);
        }
    }

    private void claim(boolean changed, FleetConfiguration configuration, MembershipView view, LeaseState lease) {
        Member me = view.members().get(self.id());
        if (leaving || me == null || me.incarnation() != lease.incarnation()) {
            return;
        }
        claims.refresh(changed, configuration, view);
        claims.duePlans(view).forEach((server, plan) -> {
            if (writer.canWrite(server)) {
                writer.claim(server, plan, self.id(), lease);
            }
        });
    }

    private void maintain(FleetConfiguration configuration, MembershipView view, long now) {
        boolean zoneLeaving = !configuration.inService(self.zone());
        held.forEach((name, entry) -> {
            Row row = rows.get(name).row();
            BackendServer server = configuration.servers().get(name);
            Optional<Member> target = server == null
                    ? Optional.empty()
                    : RendezvousUtils.preferredOwner(
                            server, configuration, view.members().values());
            Optional<Member> other = target.filter(member -> !member.id().equals(self.id()));
            boolean mustLeave = leaving || (server == null && configuration.version() > 0);
            if (entry.stopping) {
                continueHandover(name, entry, row, other, mustLeave, now);
            } else if (mustLeave || (other.isPresent() && (zoneLeaving || dwelt(entry, other.get(), now)))) {
                if (writer.canWrite(name) && handoversInProgress() < settings.maxConcurrentWrites()) {
                    entry.stopping = true;
                    entry.stoppedNanos = now;
                }
            } else {
                prune(name, entry, row, view);
            }
        });
    }

    private boolean dwelt(Held entry, Member target, long now) {
        long dwell = settings.dwellTime().toNanos();
        return now - entry.sinceNanos >= dwell && now - memberSince.getOrDefault(target.id(), now) >= dwell;
    }

    private long handoversInProgress() {
        return held.values().stream().filter(entry -> entry.stopping).count();
    }

    private void continueHandover(
            ServerName name, Held entry, Row row, Optional<Member> other, boolean mustLeave, long now) {
        if (now - entry.stoppedNanos < settings.grantTimeout().toNanos() || !writer.canWrite(name)) {
            return;
        }
        if (other.isEmpty() && !mustLeave) {
            if (entry.sentRevision != row.revision()) {
                entry.stopping = false;
            } else {
                writer.rewriteUnchanged(name, row);
            }
            return;
        }
        entry.sentRevision = row.revision();
        Optional<Row> targetRow = other.flatMap(member -> watcher.row(MemberRow.key(member.id())));
        writer.handOver(name, row, targetRow, () -> {
            if (targetRow.isPresent()) {
                handovers.handedOver(name, other.get().id(), entry.fencingNumber + 1);
            }
        });
    }

    private void prune(ServerName name, Held entry, Row row, MembershipView view) {
        List<ServerRow.LapsedHolder> known = entry.row.lapsed().stream()
                .filter(lapsed -> !SharePolicy.hasReleasedShare(lapsed, row.revision(), view, watcher)
                        && (view.members().containsKey(lapsed.router()) || !gone.contains(lapsed.router())))
                .toList();
        if (known.size() < entry.row.lapsed().size() && writer.canWrite(name)) {
            writer.prune(name, row, known);
        }
    }

    /** Server that this router holds. */
    private static final class Held {

        private final long fencingNumber;
        private final long sinceNanos;
        private ServerRow row;

        /** False for a claim that took effect while contact was not settled, so that a lapsed holder may use all. */
        private boolean usable;

        private boolean stopping;

        /** Revision that the last handover was conditional on; it may still take effect while the row has it. */
        private long sentRevision;

        private long stoppedNanos;

        private Held(long fencingNumber, long sinceNanos) {
            this.fencingNumber = fencingNumber;
            this.sinceNanos = sinceNanos;
        }
    }
}
