package org.coltsfootquay.decision.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.Service;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.configuration.Zone;
import org.coltsfootquay.decision.membership.EstablishedMembers;
import org.coltsfootquay.decision.membership.GoneRouters;
import org.coltsfootquay.decision.membership.LeaseState;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MemberRow;
import org.coltsfootquay.decision.membership.MembershipController;
import org.coltsfootquay.decision.membership.MembershipSettings;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.membership.ShareValidity;
import org.coltsfootquay.decision.membership.WorkPermit;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.StoreContact;
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

    /** Rank up to which a router claims a server that better placed routers have left. */
    private static final int MAX_RANK = 3;

    private final StoreWatcher watcher;
    private final MembershipController membership;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final TimelineSink timeline;
    private final RandomGenerator random;
    private final MembershipSettings self;
    private final OwnershipSettings settings;
    private final ShareRule shareRule;
    private final EstablishedMembers established;
    private final GoneRouters gone;
    private final ServerRowWriter writer;
    private final HandoverListener handovers;

    private final Map<ServerName, Long> claimTimes = new HashMap<>();
    private final TreeMap<ServerName, Held> held = new TreeMap<>();
    private final Map<RouterId, Long> memberSince = new HashMap<>();
    private TimerService.Subscription subscription;
    private boolean leaving;
    private boolean stopped;
    private long releasePendingRevision;
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
            EstablishedMembers established,
            GoneRouters gone,
            TimerService timer,
            Blackboard blackboard,
            TimelineSink timeline,
            RandomGenerator random,
            HandoverListener handovers,
            MembershipSettings self,
            OwnershipSettings settings) {
        this.watcher = ArgumentUtils.requireValue(watcher, "watcher");
        this.membership = ArgumentUtils.requireValue(membership, "membership");
        this.established = ArgumentUtils.requireValue(established, "established members");
        this.gone = ArgumentUtils.requireValue(gone, "gone routers");
        this.timer = ArgumentUtils.requireValue(timer, "timer");
        this.blackboard = ArgumentUtils.requireValue(blackboard, "blackboard");
        this.timeline = ArgumentUtils.requireValue(timeline, "timeline");
        this.random = ArgumentUtils.requireValue(random, "random");
        this.handovers = ArgumentUtils.requireValue(handovers, "handover listener");
        this.self = ArgumentUtils.requireValue(self, "membership settings");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
        this.shareRule = new ShareRule(blackboard, watcher, self.region(), settings.outageReportAge());
        this.writer = new ServerRowWriter(store, watcher, timer, settings);
    }

    /** Begins to evaluate. */
    public void start() {
        watcher.subscribe(this::evaluate);
        blackboard.cell(LeaseState.TOPIC).subscribe(lease -> evaluate());
        blackboard.cell(ConfigurationTopic.IN_FORCE).subscribe(configuration -> evaluate());
        subscription = timer.every("ownership", settings.checkPeriod(), this::evaluate);
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
        noteMembers(view, now);
        Map<ServerName, Row> rows = new TreeMap<>();
        for (Row row : watcher.rows(ServerRow.PREFIX)) {
            rows.put(new ServerName(row.key().substring(ServerRow.PREFIX.length())), row);
        }
        updateHeld(rows, lease, now);
        publishOwned(configuration, lease, now);
        publishOwners(rows, configuration, view);
        noteLapsedShares(rows, lease, now);
        if (lease.valid(now) && watcher.completeAsOf(lease.confirmedNanos())) {
            claim(rows, configuration, view, lease, now);
            maintain(rows, configuration, view, now);
        }
    }

    private void noteMembers(MembershipView view, long now) {
        memberSince.keySet().retainAll(view.members().keySet());
        view.members().keySet().forEach(id -> memberSince.putIfAbsent(id, now));
    }

    private void updateHeld(Map<ServerName, Row> rows, LeaseState lease, long now) {
        boolean member = lease.phase() == LeaseState.Phase.HELD || lease.phase() == LeaseState.Phase.LAPSED;
        held.entrySet().removeIf(entry -> {
            Row row = rows.get(entry.getKey());
            boolean lost = !member || row == null || !ServerRow.of(row.value()).heldBy(self.id(), lease.incarnation());
            if (lost) {
                record(EventKind.SERVER_RELEASED, entry.getKey(), entry.getValue().fencingNumber, "row names another");
            }
            return lost;
        });
        if (!member) {
            return;
        }
        rows.forEach((server, row) -> {
            ServerRow content = ServerRow.of(row.value());
            if (content.heldBy(self.id(), lease.incarnation())) {
                Held entry = held.get(server);
                if (entry == null || entry.fencingNumber != content.fencingNumber()) {
                    entry = new Held(content.fencingNumber(), now);
                    held.put(server, entry);
                    record(EventKind.SERVER_CLAIMED, server, content.fencingNumber(), "share " + content.share());
                }
                entry.row = content;
                entry.usable |= content.lapsed().isEmpty()
                        || blackboard.read(StoreContact.TOPIC).settled();
            }
        });
    }

    private void record(EventKind kind, ServerName server, long fencingNumber, String reason) {
        timeline.record(TimelineEvent.of(
                kind, "server", server, "router", self.id(), "fencing", fencingNumber, "reason", reason));
    }

    private void publishOwned(FleetConfiguration configuration, LeaseState lease, long now) {
        boolean permitted = blackboard.read(WorkPermit.TOPIC).allows(now);
        long horizon = now + settings.lookahead().toNanos();
        boolean confirmed = lease.valid(horizon) && watcher.completeAsOf(lease.confirmedNanos());
        long expiry = lease.validUntilNanos() + self.safetyMargin().toNanos();
        List<OwnedServer> servers = new ArrayList<>();
        held.forEach((name, entry) -> {
            BackendServer server = configuration.servers().get(name);
            if (server != null) {
                Service service = configuration.services().get(server.service());
                servers.add(new OwnedServer(
                        name,
                        server.service(),
                        service == null ? ServiceKind.MODEL : service.kind(),
                        server.address(),
                        entry.fencingNumber,
                        shareRule.usable(entry.row.share(), confirmed, expiry, horizon),
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
        ShareValidity validity =
                new ShareValidity(confirmed ? lease.validUntilNanos() : shareRule.reducedAfterNanos(expiry, horizon));
        if (!validity.equals(blackboard.read(ShareValidity.TOPIC))) {
            blackboard.write(ShareValidity.TOPIC, validity);
        }
    }

    private void publishOwners(Map<ServerName, Row> rows, FleetConfiguration configuration, MembershipView view) {
        Map<ServerName, OwnerMap.Owner> owners = new HashMap<>();
        Map<ServiceName, TreeSet<RouterId>> byService = new HashMap<>();
        rows.forEach((name, row) -> {
            ServerRow content = ServerRow.of(row.value());
            Member holder = content.holder().map(view.members()::get).orElse(null);
            if (holder == null || holder.incarnation() != content.incarnation()) {
                return;
            }
            owners.put(name, new OwnerMap.Owner(holder.id(), content.incarnation(), content.fencingNumber()));
            BackendServer server = configuration.servers().get(name);
            if (server != null && configuration.admitsWork(name)) {
                byService
                        .computeIfAbsent(server.service(), service -> new TreeSet<>())
                        .add(holder.id());
            }
        });
        Map<ServiceName, List<RouterId>> ownersByService = new HashMap<>();
        byService.forEach((service, routers) -> ownersByService.put(service, List.copyOf(routers)));
        OwnerMap map = new OwnerMap(owners, ownersByService);
        if (!map.equals(blackboard.read(OwnerMap.TOPIC))) {
            blackboard.write(OwnerMap.TOPIC, map);
        }
    }

    /** Tells claimants that this router no longer uses the servers that its lapsed incarnation lost. */
    private void noteLapsedShares(Map<ServerName, Row> rows, LeaseState lease, long now) {
        long newest = 0;
        for (Row row : rows.values()) {
            boolean named = ServerRow.of(row.value()).lapsed().stream()
                    .anyMatch(entry -> entry.router().equals(self.id()) && entry.incarnation() == lease.incarnation());
            newest = Math.max(newest, named ? row.revision() : 0);
        }
        if (newest > releasePendingRevision) {
            releasePendingRevision = newest;
            releaseAtNanos = now + settings.grantLapse().toNanos();
        }
        if (newest > 0 && now >= releaseAtNanos && lease.phase() == LeaseState.Phase.HELD) {
            membership.released(releasePendingRevision);
        }
    }

    private void claim(
            Map<ServerName, Row> rows,
            FleetConfiguration configuration,
            MembershipView view,
            LeaseState lease,
            long now) {
        Member me = view.members().get(self.id());
        if (leaving || me == null || me.incarnation() != lease.incarnation()) {
            return;
        }
        for (BackendServer server : configuration.servers().values()) {
            Row row = rows.get(server.name());
            Optional<ClaimPlan> plan =
                    inRegion(server, configuration) ? claimPlan(server, row, view) : Optional.empty();
            int rank = plan.isPresent() ? rank(server, configuration, view) : -1;
            if (rank < 0 || rank > MAX_RANK) {
                claimTimes.remove(server.name());
                continue;
            }
            long claimAt = claimTimes.computeIfAbsent(
                    server.name(),
                    name -> now
                            + rank * settings.claimRankDelay().toNanos()
                            + Math.round(settings.claimJitter().toNanos() * random.nextDouble()));
            if (now >= claimAt && writer.mayWrite(server.name())) {
                writer.claim(server.name(), plan.get(), self.id(), lease);
            }
        }
    }

    private int rank(BackendServer server, FleetConfiguration configuration, MembershipView view) {
        List<Member> ranked =
                RendezvousUtils.ranked(server, configuration, view.members().values());
        for (int i = 0; i < ranked.size(); i++) {
            if (ranked.get(i).id().equals(self.id())) {
                return i;
            }
        }
        return -1;
    }

    private boolean inRegion(BackendServer server, FleetConfiguration configuration) {
        Zone zone = configuration.zones().get(server.zone());
        return zone != null && zone.region().equals(self.region());
    }

    private Optional<ClaimPlan> claimPlan(BackendServer server, Row row, MembershipView view) {
        if (row == null) {
            return Optional.of(new ClaimPlan(Optional.empty(), Optional.empty(), Optional.empty(), List.of()));
        }
        ServerRow content = ServerRow.of(row.value());
        if (content.holder().isEmpty()) {
            return Optional.of(new ClaimPlan(
                    Optional.of(row), Optional.empty(), Optional.empty(), ShareRule.known(content.lapsed(), view)));
        }
        RouterId holder = content.holder().get();
        Optional<Row> holderRow = watcher.row(MemberRow.key(holder)).filter(found -> !found.expired());
        boolean newer = holderRow
                .filter(found -> MemberRow.of(found).member().incarnation() > content.incarnation())
                .isPresent();
        if (holderRow.isPresent() && !newer) {
            return Optional.empty();
        }
        boolean mayUseAll = established.contains(holder, content.incarnation()) || gone.contains(holder);
        boolean settled = blackboard.read(StoreContact.TOPIC).settled();
        if (!newer && !server.checksFencing() && (!mayUseAll || !settled)) {
            return Optional.empty();
        }
        List<ServerRow.LapsedHolder> lapsed = new ArrayList<>(ShareRule.known(content.lapsed(), view));
        if (!newer) {
            lapsed.add(
                    new ServerRow.LapsedHolder(holder, content.incarnation(), ShareRule.lapsedShare(content.share())));
        }
        return Optional.of(new ClaimPlan(
                Optional.of(row),
                Optional.of(MemberRow.key(holder)),
                newer ? holderRow : Optional.empty(),
                server.checksFencing() ? List.of() : lapsed));
    }

    private void maintain(Map<ServerName, Row> rows, FleetConfiguration configuration, MembershipView view, long now) {
        held.forEach((name, entry) -> {
            Row row = rows.get(name);
            if (row == null) {
                return;
            }
            BackendServer server = configuration.servers().get(name);
            Optional<Member> target = server == null
                    ? Optional.empty()
                    : RendezvousUtils.preferredOwner(
                            server, configuration, view.members().values());
            boolean moveAway = leaving || (server == null && configuration.version() > 0);
            boolean zoneLeaving = !configuration.inService(self.zone());
            boolean other =
                    target.filter(member -> !member.id().equals(self.id())).isPresent();
            boolean dwelt = other
                    && now - entry.sinceNanos >= settings.dwellTime().toNanos()
                    && now - memberSince.getOrDefault(target.get().id(), now)
                            >= settings.dwellTime().toNanos();
            if (entry.stopping) {
                continueHandover(name, entry, row, target, other, now);
            } else if (moveAway || (other && (dwelt || zoneLeaving))) {
                if (writer.mayWrite(name) && handoversInProgress() < settings.writesAtATime()) {
                    entry.stopping = true;
                    entry.stoppedNanos = now;
                }
            } else {
                prune(name, entry, row, view);
            }
        });
    }

    private long handoversInProgress() {
        return held.values().stream().filter(entry -> entry.stopping).count();
    }

    private void continueHandover(
            ServerName name, Held entry, Row row, Optional<Member> target, boolean other, long now) {
        if (now - entry.stoppedNanos < settings.grantLapse().toNanos() || !writer.mayWrite(name)) {
            return;
        }
        if (!other && !leaving && target.isPresent()) {
            if (!entry.sent) {
                entry.stopping = false;
            }
            return;
        }
        entry.sent = true;
        Optional<Row> targetRow = other ? watcher.row(MemberRow.key(target.get().id())) : Optional.empty();
        writer.handOver(name, row, targetRow, () -> {
            if (targetRow.isPresent()) {
                handovers.handedOver(name, target.get().id(), entry.fencingNumber + 1);
            }
        });
    }

    private void prune(ServerName name, Held entry, Row row, MembershipView view) {
        List<ServerRow.LapsedHolder> known = entry.row.lapsed().stream()
                .filter(lapsed -> !ShareRule.released(lapsed, row.revision(), view, watcher)
                        && (view.members().containsKey(lapsed.router()) || !gone.contains(lapsed.router())))
                .toList();
        if (known.size() < entry.row.lapsed().size() && writer.mayWrite(name)) {
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
        private boolean sent;
        private long stoppedNanos;

        private Held(long fencingNumber, long sinceNanos) {
            this.fencingNumber = fencingNumber;
            this.sinceNanos = sinceNanos;
        }
    }
}
