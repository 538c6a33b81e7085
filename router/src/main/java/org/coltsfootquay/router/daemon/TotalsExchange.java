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

/** Exchanges usage reports and fleet totals in the aggregation tree; confined to the control thread. */
final class TotalsExchange {

    /** Margin which ensures that the period of the node has ended when the usage is drained. */
    private static final Duration PERIOD_MARGIN = Duration.ofMillis(2);

    private final ControlThread controlThread;
    private final Blackboard blackboard;
    private final OwnerRouter ownerRouter;
    private final OwnerPort peers;
    private final RouterId self;
    private final RegionName region;
    private final AggregationNode node;
    private final SettledContactAggregator settledContact = new SettledContactAggregator();

    TotalsExchange(
            ControlThread controlThread,
            Blackboard blackboard,
            OwnerRouter ownerRouter,
            OwnerPort peers,
            RouterId self,
            RegionName region,
            long session) {
        this.controlThread = controlThread;
        this.blackboard = blackboard;
        this.ownerRouter = ownerRouter;
        this.peers = peers;
        this.self = self;
        this.region = region;
        this.node = new AggregationNode(self, session);
    }

    void start() {
        blackboard.cell(MembershipView.TOPIC).subscribe(this::membersChanged);
        scheduleDrain();
    }

    /** Processes a message of the aggregation tree; returns false if the frame is not one. */
    boolean receive(RouterId from, Frame frame) {
        switch (frame.getBodyCase()) {
            case USAGE_REPORT -> {
                settledContact.recordChild(from, frame.getUsageReport().getSettledAgeMillis(), now());
                node.receive(from, TotalsMessageConverter.toReport(frame.getUsageReport()), now());
            }
            case FLEET_TOTALS -> {
                if (node.parent().filter(from::equals).isPresent()) {
                    settledContact.recordParent(frame.getFleetTotals().getSettledAgeMillis(), now());
                }
                node.receive(from, TotalsMessageConverter.toTotals(frame.getFleetTotals()), now());
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

    private void scheduleDrain() {
        controlThread
                .timer()
                .scheduleOnce(
                        "totals",
                        node.period().plus(PERIOD_MARGIN),
                        () -> ownerRouter.drainUsage(usage -> controlThread.execute(() -> sendMessages(usage))));
    }

    private void sendMessages(OwnerRouter.Usage usage) {
        Map<ServiceName, List<ServiceTotals.OwnerLoad>> loads = new HashMap<>();
        usage.loads().forEach((service, load) -> loads.put(service, List.of(load)));
        StoreConnectivity storeConnectivity = blackboard.read(StoreConnectivity.TOPIC);
        settledContact.setLocal(storeConnectivity.lastSettledNanos());
        node.setLocalStatus(
                storeConnectivity.reachable(),
                RegionStoreReport.digest(self, blackboard.read(LeaseState.TOPIC).incarnation()),
                blackboard.read(ConfigurationTopic.IN_FORCE).version());
        node.recordUsage(usage.increments(), loads, now());
        AggregationNode.Output output = node.tick(now());
        output.parent()
                .ifPresent(parent -> output.report()
                        .ifPresent(report -> peers.send(
                                parent,
                                TotalsMessageConverter.toFrame(report, settledContact.subtreeAgeMillis(now())))));
        output.regionReports()
                .forEach((root, report) -> peers.send(
                        root, TotalsMessageConverter.toFrame(report, settledContact.subtreeAgeMillis(now()))));
        output.totals()
                .forEach((child, totals) -> peers.send(
                        child,
                        TotalsMessageConverter.toFrame(totals, settledContact.regionAgeMillis(node.isRoot(), now()))));
        publish();
        scheduleDrain();
    }

    private void publish() {
        ServiceTotals totals = node.serviceTotals();
        if (totals.version() == blackboard.read(ServiceTotals.TOPIC).version()) {
            return;
        }
        blackboard.write(ServiceTotals.TOPIC, totals);
        FleetTotals fleetTotals = node.totals();
        blackboard.write(
                RegionStoreReport.TOPIC,
                new RegionStoreReport(
                        fleetTotals.routers(),
                        fleetTotals.routersWithoutStore(),
                        fleetTotals.withoutStoreDigest(),
                        settledContact.lastSettledNanos(node.isRoot(), now()),
                        now() - Duration.ofMillis(fleetTotals.ageMillis()).toNanos()));
    }

    private long now() {
        return controlThread.timer().nowNanos();
    }
}
