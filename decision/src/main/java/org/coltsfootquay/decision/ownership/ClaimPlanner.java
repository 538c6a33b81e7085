package org.coltsfootquay.decision.ownership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.Zone;
import org.coltsfootquay.decision.membership.JoinAwareMembers;
import org.coltsfootquay.decision.membership.TerminatedRouters;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MemberRow;
import org.coltsfootquay.decision.membership.MembershipSettings;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.StoreConnectivity;
import org.coltsfootquay.decision.store.StoreWatcher;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Decides which servers this router claims, on what basis and when.
 *
 * <p>The preferred owner claims after a random delay. The next routers in rank wait longer for each one before them, so
 * that a server whose preferred owner cannot claim is not left without an owner.
 */
final class ClaimPlanner {

    private static final int MAX_RANK = 3;
    private static final Duration REFRESH_PERIOD = Duration.ofSeconds(1);

    private final StoreWatcher watcher;
    private final ServerRows rows;
    private final JoinAwareMembers established;
    private final TerminatedRouters gone;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final RandomGenerator random;
    private final MembershipSettings self;
    private final OwnershipSettings settings;
    private final Map<ServerName, Long> claimTimes = new HashMap<>();
    private final TreeMap<ServerName, BackendServer> claimable = new TreeMap<>();
    private long refreshedNanos = Long.MIN_VALUE / 2;

    ClaimPlanner(
            StoreWatcher watcher,
            ServerRows rows,
            JoinAwareMembers established,
            TerminatedRouters gone,
            TimerService timer,
            Blackboard blackboard,
            RandomGenerator random,
            MembershipSettings self,
            OwnershipSettings settings) {
        this.watcher = watcher;
        this.rows = rows;
        this.established = established;
        this.gone = gone;
        this.timer = timer;
        this.blackboard = blackboard;
        this.random = random;
        this.self = self;
        this.settings = settings;
    }

    /** Finds the servers that may be claimed, when something changed or the last time was long ago. */
    void refresh(boolean changed, FleetConfiguration configuration, MembershipView view) {
        long now = timer.nowNanos();
        if (!changed && now - refreshedNanos < REFRESH_PERIOD.toNanos()) {
            return;
        }
        refreshedNanos = now;
        claimable.clear();
        for (BackendServer server : configuration.servers().values()) {
            if (inRegion(server, configuration) && plan(server, view).isPresent()) {
                int rank = rank(server, configuration, view);
                if (rank >= 0 && rank <= MAX_RANK) {
                    claimable.put(server.name(), server);
                    claimTimes.computeIfAbsent(server.name(), name -> now + delayNanos(rank));
                }
            }
        }
        claimTimes.keySet().retainAll(claimable.keySet());
    }

    /** Returns the plans whose time has come. */
    Map<ServerName, ClaimPlan> duePlans(MembershipView view) {
        Map<ServerName, ClaimPlan> due = new TreeMap<>();
        long now = timer.nowNanos();
        claimable.forEach((name, server) -> {
            if (now >= claimTimes.get(name)) {
                plan(server, view).ifPresent(plan -> due.put(name, plan));
            }
        });
        return due;
    }

    private long delayNanos(int rank) {
        return rank * settings.claimRankDelay().toNanos()
                + Math.round(settings.maxClaimJitter().toNanos() * random.nextDouble());
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

    private Optional<ClaimPlan> plan(BackendServer server, MembershipView view) {
        ServerRows.Entry entry = rows.get(server.name());
        if (entry == null) {
            return Optional.of(new ClaimPlan(Optional.empty(), Optional.empty(), Optional.empty(), List.of()));
        }
        ServerRow content = entry.content();
        Optional<Row> basis = Optional.of(entry.row());
        if (content.holder().isEmpty()) {
            return Optional.of(
                    new ClaimPlan(basis, Optional.empty(), Optional.empty(), SharePolicy.withoutReplaced(content.lapsed(), view)));
        }
        RouterId holder = content.holder().get();
        Member member = view.members().get(holder);
        if (member != null && member.incarnation() == content.incarnation()) {
            return Optional.empty();
        }
        Optional<Row> holderRow = watcher.row(MemberRow.key(holder)).filter(found -> !found.expired());
        if (holderRow.isPresent()) {
            boolean newer = MemberRow.of(holderRow.get()).member().incarnation() > content.incarnation();
            return newer
                    ? Optional.of(new ClaimPlan(
                            basis,
                            Optional.of(MemberRow.key(holder)),
                            holderRow,
                            server.checksFencing() ? List.of() : SharePolicy.withoutReplaced(content.lapsed(), view)))
                    : Optional.empty();
        }
        return server.checksFencing() || mayShare(holder, content)
                ? Optional.of(new ClaimPlan(
                        basis, Optional.of(MemberRow.key(holder)), Optional.empty(), lapsed(server, content, view)))
                : Optional.empty();
    }

    /** Tells whether an expired holder surely uses no more than its reduced share. */
    private boolean mayShare(RouterId holder, ServerRow content) {
        return blackboard.read(StoreConnectivity.TOPIC).settled()
                && (established.contains(holder, content.incarnation()) || gone.contains(holder));
    }

    private static List<ServerRow.LapsedHolder> lapsed(BackendServer server, ServerRow content, MembershipView view) {
        if (server.checksFencing()) {
            return List.of();
        }
        List<ServerRow.LapsedHolder> lapsed = new ArrayList<>(SharePolicy.withoutReplaced(content.lapsed(), view));
        lapsed.add(new ServerRow.LapsedHolder(
                content.holder().orElseThrow(), content.incarnation(), SharePolicy.lapsedShare(content.share())));
        return lapsed;
    }
}
