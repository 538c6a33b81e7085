package org.coltsfootquay.decision.ownership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MemberRow;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.membership.RegionStoreReport;
import org.coltsfootquay.decision.ownership.ServerRow.LapsedHolder;
import org.coltsfootquay.decision.store.StoreConnectivity;
import org.coltsfootquay.decision.store.StoreWatcher;

/**
 * Division of a server's limit between a holder whose lease lapsed and a claimant.
 *
 * <p>Shares are halved only, so their sums are exact in binary floating point.
 */
final class SharePolicy {

    private final Blackboard blackboard;
    private final StoreWatcher watcher;
    private final RouterId self;
    private final RegionName region;
    private final Duration reportAge;

    SharePolicy(Blackboard blackboard, StoreWatcher watcher, RouterId self, RegionName region, Duration reportAge) {
        this.self = self;
        this.watcher = watcher;
        this.blackboard = blackboard;
        this.region = region;
        this.reportAge = reportAge;
    }

    /** Returns the share that a holder keeps when its lease lapses. */
    static double lapsedShare(double share) {
        return share / 2;
    }

    /**
     * Tells whether nobody has claimed since this router's lease expired and nobody can claim now: no router of the
     * region reaches the store, and none had settled contact after the expiry. A router whose own row was deleted may
     * have lost its servers already.
     */
    boolean isRegionOutageConfirmed(long expiryNanos, long now) {
        if (blackboard.read(StoreConnectivity.TOPIC).reachable()) {
            return false;
        }
        List<Member> known = knownRouters();
        if (known.stream().noneMatch(member -> member.id().equals(self))) {
            return false;
        }
        long digest = known.stream()
                .mapToLong(member -> RegionStoreReport.digest(member.id(), member.incarnation()))
                .sum();
        RegionStoreReport report = blackboard.read(RegionStoreReport.TOPIC);
        boolean fresh = now - report.asOfNanos() < reportAge.toNanos();
        boolean all = report.routersWithoutStore() == report.routers() && report.withoutStoreDigest() == digest;
        return alone(known) || (fresh && all && report.lastSettledNanos() <= expiryNanos);
    }

    /** Returns the routers of the region that have a row, also those whose row was found expired. */
    private List<Member> knownRouters() {
        return watcher.rows(MemberRow.PREFIX).stream()
                .map(row -> MemberRow.of(row).member())
                .filter(member -> member.region().equals(region))
                .toList();
    }

    /**
     * Tells whether this router surely is the only one of its region. A copy of the rows made before the others joined
     * names this router only, while their reports have already arrived over the aggregation tree.
     */
    private boolean alone(List<Member> known) {
        return known.size() <= 1 && blackboard.read(RegionStoreReport.TOPIC).routers() <= 1;
    }

    /** Returns until when a confirmed outage may be relied on without a newer report. */
    long outageConfirmedUntilNanos() {
        return alone(knownRouters())
                ? Long.MAX_VALUE
                : blackboard.read(RegionStoreReport.TOPIC).asOfNanos() + reportAge.toNanos();
    }

    /** Returns the lapsed holders that no newer incarnation has replaced. */
    static List<LapsedHolder> withoutReplaced(List<LapsedHolder> lapsed, MembershipView view) {
        return lapsed.stream().filter(entry -> !replaced(entry, view)).toList();
    }

    /** Tells whether a lapsed holder surely no longer uses its share. */
    static boolean hasReleasedShare(LapsedHolder entry, long claimRevision, MembershipView view, StoreWatcher watcher) {
        Optional<MemberRow> row = watcher.row(MemberRow.key(entry.router()))
                .filter(found -> !found.expired())
                .map(MemberRow::of);
        boolean released = row.filter(found -> found.member().incarnation() == entry.incarnation()
                        && found.releasedRevision() >= claimRevision)
                .isPresent();
        return released || replaced(entry, view);
    }

    private static boolean replaced(LapsedHolder entry, MembershipView view) {
        Member member = view.members().get(entry.router());
        return member != null && member.incarnation() > entry.incarnation();
    }
}
