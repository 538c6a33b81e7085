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
 * Divides a server's limit between holders whose lease lapsed and the claimant.
 *
 * <p>Shares are only ever halved, so their sums are exact in binary floating point.
 */
final class SharePolicy {

    private final Blackboard blackboard;
    private final StoreWatcher watcher;
    private final RouterId self;
    private final RegionName region;
    private final Duration maxReportAge;

    SharePolicy(Blackboard blackboard, StoreWatcher watcher, RouterId self, RegionName region, Duration maxReportAge) {
        this.self = self;
        this.watcher = watcher;
        this.blackboard = blackboard;
        this.region = region;
        this.maxReportAge = maxReportAge;
    }

    /** Returns the share that a holder keeps when its lease lapses. */
    static double lapsedShare(double share) {
        return share / 2;
    }

    /**
     * Tests whether no router can have claimed since this router's lease expired, and none can claim now.
     *
     * <p>This holds if no router of the region reaches the store and none had settled connectivity after the expiry. It
     * does not hold for a router whose own row was deleted, because it may have lost its servers already.
     */
    boolean isRegionOutageConfirmed(long expiryNanos, long now) {
        if (blackboard.read(StoreConnectivity.TOPIC).reachable()) {
            return false;
        }
        List<Member> routers = knownRouters();
        if (routers.stream().noneMatch(member -> member.id().equals(self))) {
            return false;
        }
        long digest = routers.stream()
                .mapToLong(member -> RegionStoreReport.digest(member.id(), member.incarnation()))
                .sum();
        RegionStoreReport report = blackboard.read(RegionStoreReport.TOPIC);
        boolean fresh = now - report.asOfNanos() < maxReportAge.toNanos();
        boolean allWithoutStore =
                report.routersWithoutStore() == report.routers() && report.withoutStoreDigest() == digest;
        return isOnlyRouter(routers) || (fresh && allWithoutStore && report.lastSettledNanos() <= expiryNanos);
    }

    /** Returns the routers of the region that have a row, including those with an expired row. */
    private List<Member> knownRouters() {
        return watcher.rows(MemberRow.PREFIX).stream()
                .map(row -> MemberRow.of(row).member())
                .filter(member -> member.region().equals(region))
                .toList();
    }

    /**
     * Tests whether this router is known to be the only one of its region.
     *
     * <p>The cached rows alone do not suffice: if they were read before other routers joined, they name only this
     * router, while reports of the others have already arrived through the aggregation tree.
     */
    private boolean isOnlyRouter(List<Member> routers) {
        return routers.size() <= 1 && blackboard.read(RegionStoreReport.TOPIC).routers() <= 1;
    }

    /** Returns the time until which a confirmed outage holds without a newer report. */
    long outageConfirmedUntilNanos() {
        return isOnlyRouter(knownRouters())
                ? Long.MAX_VALUE
                : blackboard.read(RegionStoreReport.TOPIC).asOfNanos() + maxReportAge.toNanos();
    }

    /** Returns the lapsed holders that were not replaced by a newer incarnation of the same router. */
    static List<LapsedHolder> withoutReplaced(List<LapsedHolder> lapsed, MembershipView view) {
        return lapsed.stream().filter(entry -> !replaced(entry, view)).toList();
    }

    /** Tests whether a lapsed holder is guaranteed to no longer use its share. */
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
