package org.coltsfootquay.router.daemon;

import java.util.Locale;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.configuration.AdministrativeState;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.dispatch.DispatchAction;
import org.coltsfootquay.decision.dispatch.ServerState;
import org.coltsfootquay.decision.dispatch.ServiceDispatcher;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.invariant.InvariantMonitor;
import org.coltsfootquay.decision.invariant.IsolatedRouterInvariant;
import org.coltsfootquay.decision.invariant.LeavingMemberInvariant;
import org.coltsfootquay.decision.invariant.SchedulingInvariants;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.membership.PeerConnectivity;
import org.coltsfootquay.decision.store.StoreConnectivity;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;
import org.coltsfootquay.router.metrics.RouterMetrics;
import org.coltsfootquay.router.owner.OwnerObserver;

/** Records the decisions of the dispatchers in the timeline and metrics, and checks the invariants of grants. */
final class DispatchMonitor implements OwnerObserver {

    private final RouterId self;
    private final Blackboard blackboard;
    private final TimelineSink timeline;
    private final RouterMetrics metrics;
    private final SchedulingInvariants schedulingInvariants;
    private final LeavingMemberInvariant leavingMemberInvariant;
    private final IsolatedRouterInvariant isolatedRouterInvariant;
    private FleetConfiguration configuration = FleetConfiguration.none();

    DispatchMonitor(
            RouterId self,
            Blackboard blackboard,
            TimelineSink timeline,
            RouterMetrics metrics,
            InvariantMonitor monitor) {
        this.self = self;
        this.blackboard = blackboard;
        this.timeline = timeline;
        this.metrics = metrics;
        this.schedulingInvariants = new SchedulingInvariants(monitor);
        this.leavingMemberInvariant = new LeavingMemberInvariant(monitor);
        this.isolatedRouterInvariant = new IsolatedRouterInvariant(monitor);
    }

    @Override
    public void configurationChanged(FleetConfiguration newConfiguration, long nowNanos) {
        configuration = newConfiguration;
        newConfiguration
                .zones()
                .values()
                .forEach(zone -> leavingMemberInvariant.recordZone(
                        zone.name(), zone.state() == AdministrativeState.LEAVING, nowNanos));
        newConfiguration
                .servers()
                .values()
                .forEach(server -> leavingMemberInvariant.recordServer(
                        server.name(), server.state() == AdministrativeState.LEAVING, nowNanos));
    }

    @Override
    public void actionTaken(ServiceName service, DispatchAction action, ServiceDispatcher dispatcher, long nowNanos) {
        String kind = action.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        metrics.count("dispatch_actions_total{action=\"" + kind + "\",service=\"" + service + "\"}");
        if (action instanceof DispatchAction.Granted granted) {
            recordEvent(
                    EventKind.REQUEST_GRANTED,
                    service,
                    action,
                    "server",
                    granted.server().name(),
                    "fencing",
                    granted.server().fencingNumber());
            checkGrant(service, granted, dispatcher, nowNanos);
        } else if (action instanceof DispatchAction.Queued queued) {
            recordEvent(
                    EventKind.REQUEST_QUEUED,
                    service,
                    action,
                    "waitMillis",
                    queued.estimatedWait().toMillis());
        } else if (action instanceof DispatchAction.Redirected redirected) {
            recordEvent(EventKind.REQUEST_REDIRECTED, service, action, "owner", redirected.owner());
        }
    }

    @Override
    public void ticked(ServiceName service, ServiceDispatcher dispatcher, long nowNanos) {
        int capacity = 0;
        for (ServerState state : dispatcher.servers()) {
            capacity += state.admitsWork() ? state.capacity() : 0;
        }
        ServiceTotals.OwnerLoad load = dispatcher.load(nowNanos);
        schedulingInvariants.checkIdleCapacity(service, load.freeSlots(), capacity, load.queueLength(), nowNanos);
    }

    private void checkGrant(
            ServiceName service, DispatchAction.Granted granted, ServiceDispatcher dispatcher, long nowNanos) {
        for (ServerState state : dispatcher.servers()) {
            if (state.server().equals(granted.server().name())) {
                schedulingInvariants.checkGrant(service, state);
            }
        }
        BackendServer server = configuration.servers().get(granted.server().name());
        if (server != null) {
            leavingMemberInvariant.checkGrant(self, server.name(), server.zone(), nowNanos);
        }
        if (blackboard.read(MembershipView.TOPIC).members().size() > 1) {
            long lastContactNanos = Math.max(
                    blackboard.read(StoreConnectivity.TOPIC).lastResponseNanos(),
                    blackboard.read(PeerConnectivity.TOPIC).lastMessageNanos());
            isolatedRouterInvariant.checkGrant(self, lastContactNanos, nowNanos);
        }
    }

    private void recordEvent(EventKind kind, ServiceName service, DispatchAction action, Object... namesAndValues) {
        Object[] all = new Object[8 + namesAndValues.length];
        all[0] = "request";
        all[1] = action.attempt().request();
        all[2] = "attempt";
        all[3] = action.attempt().attempt();
        all[4] = "service";
        all[5] = service;
        all[6] = "router";
        all[7] = self;
        System.arraycopy(namesAndValues, 0, all, 8, namesAndValues.length);
        timeline.record(TimelineEvent.of(kind, all));
    }
}
