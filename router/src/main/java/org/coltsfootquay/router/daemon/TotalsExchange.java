package org.coltsfootquay.router.daemon;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.decision.fairness.AggregationNode;
import org.coltsfootquay.decision.fairness.FleetTotals;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.membership.LeaseState;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.membership.RegionStoreReport;
import org.coltsfootquay.decision.store.StoreConnectivity;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.router.entry.OwnerPort;
import org.coltsfootquay.router.owner.OwnerRouter;

/** This router's part in the aggregation tree; runs on the control thread. */
final class TotalsExchange {

    /** Makes sure that the period of the node is over when its usage is drained. */
    private static final Duration MARGIN = Duration.ofMillis(2);

    private final ControlThread control;
    private final Blackboard blackboard;
    private final OwnerRouter owner;
    private final OwnerPort peers;
    private final RouterId self;
    private final RegionName region;
    private final AggregationNode node;
    private final SettledContact settled = new SettledContact();

    TotalsExchange(
            ControlThread control,
            Blackboard blackboard,
            OwnerRouter owner,
            OwnerPort peers,
            RouterId self,
            RegionName region,
            long session) {
        this.control = control;
        this.blackboard = blackboard;
        this.owner = owner;
        this.peers = peers;
        this.self = self;
        this.region = region;
        this.node = new AggregationNode(self, session);
    }

    void start() {
        blackboard.cell(MembershipView.TOPIC).subscribe(this::membersChanged);
        drainLater();
    }

    /** Takes a message of the tree; false when the frame is none. */
    boolean received(RouterId from, Frame frame) {
        switch (frame.getBodyCase()) {
            case USAGE_REPORT -> {
                settled.report(from, frame.getUsageReport().getSettledAgeMillis(), now());
                node.receive(from, TotalsFrames.report(frame.getUsageReport()), now());
            }
            case FLEET_TOTALS -> {
                if (node.parent().filter(from::equals).isPresent()) {
                    settled.totals(frame.getFleetTotals().getSettledAgeMillis(), now());
                }
                node.receive(from, TotalsFrames.totals(frame.getFleetTotals()), now());
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private void membersChanged(MembershipView view) {
        Set<RouterId> otherRoots = new HashSet<>();
        view.members().values().stream()
                .map(Member::region)
                .distinct()
                .filter(other -> !other.equals(region))
                .forEach(other -> otherRoots.add(view.ranked(other).get(0).id()));
        node.setMembers(view.ranked(region).stream().map(Member::id).toList(), now());
        node.setOtherRoots(otherRoots);
    }

    private void drainLater() {
        control.timer()
                .scheduleOnce(
                        "totals",
                        node.period().plus(MARGIN),
                        () -> owner.drainUsage(usage -> control.execute(() -> exchange(usage))));
    }

    private void exchange(OwnerRouter.Usage usage) {
        Map<ServiceName, List<ServiceTotals.OwnerLoad>> loads = new HashMap<>();
        usage.loads().forEach((service, load) -> loads.put(service, List.of(load)));
        StoreConnectivity contact = blackboard.read(StoreConnectivity.TOPIC);
        settled.own(contact.lastSettledNanos());
        node.setLocalStatus(
                contact.reachable(),
                RegionStoreReport.digest(self, blackboard.read(LeaseState.TOPIC).incarnation()),
                blackboard.read(ConfigurationTopic.IN_FORCE).version());
        node.recordUsage(usage.increments(), loads, now());
        AggregationNode.Output output = node.tick(now());
        output.parent()
                .ifPresent(parent -> output.report()
                        .ifPresent(
                                report -> peers.send(parent, TotalsFrames.frame(report, settled.ageOfSubtree(now())))));
        output.regionReports()
                .forEach((root, report) -> peers.send(root, TotalsFrames.frame(report, settled.ageOfSubtree(now()))));
        output.totals()
                .forEach((child, totals) ->
                        peers.send(child, TotalsFrames.frame(totals, settled.ageOfRegion(node.isRoot(), now()))));
        publish();
        drainLater();
    }

    private void publish() {
        ServiceTotals totals = node.serviceTotals();
        if (totals.version() == blackboard.read(ServiceTotals.TOPIC).version()) {
            return;
        }
        blackboard.write(ServiceTotals.TOPIC, totals);
        FleetTotals fleet = node.totals();
        blackboard.write(
                RegionStoreReport.TOPIC,
                new RegionStoreReport(
                        fleet.routers(),
                        fleet.routersWithoutStore(),
                        fleet.withoutStoreDigest(),
                        settled.lastSettledNanos(node.isRoot(), now()),
                        now() - Duration.ofMillis(fleet.ageMillis()).toNanos()));
    }

    private long now() {
        return control.timer().nowNanos();
    }
}
