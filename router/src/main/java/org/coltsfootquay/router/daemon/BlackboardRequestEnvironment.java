package org.coltsfootquay.router.daemon;

import java.util.function.LongSupplier;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.membership.AdmissionPermit;
import org.coltsfootquay.decision.membership.LeaseState;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.placement.OwnerSelector;
import org.coltsfootquay.decision.request.RequestEnvironment;
import org.coltsfootquay.decision.request.RequestObserver;
import org.coltsfootquay.decision.retry.RetryPolicy;
import org.coltsfootquay.decision.timeline.TimelineSink;

/** Environment of the request flows that reads the state of the router from the blackboard. */
final class BlackboardRequestEnvironment implements RequestEnvironment {

    private final RouterId self;
    private final Blackboard.Cell<LeaseState> lease;
    private final Blackboard.Cell<FleetConfiguration> configuration;
    private final Blackboard.Cell<MembershipView> members;
    private final Blackboard.Cell<AdmissionPermit> permit;
    private final OwnerSelector ownerSelector;
    private final RetryPolicy retryPolicy;
    private final TimelineSink timeline;
    private final RequestObserver observer;
    private final LongSupplier clock;

    BlackboardRequestEnvironment(
            RouterId self,
            Blackboard blackboard,
            OwnerSelector ownerSelector,
            RetryPolicy retryPolicy,
            TimelineSink timeline,
            RequestObserver observer,
            LongSupplier clock) {
        this.self = self;
        this.lease = blackboard.cell(LeaseState.TOPIC);
        this.configuration = blackboard.cell(ConfigurationTopic.IN_FORCE);
        this.members = blackboard.cell(MembershipView.TOPIC);
        this.permit = blackboard.cell(AdmissionPermit.TOPIC);
        this.ownerSelector = ownerSelector;
        this.retryPolicy = retryPolicy;
        this.timeline = timeline;
        this.observer = observer;
        this.clock = clock;
    }

    @Override
    public RouterId self() {
        return self;
    }

    @Override
    public long incarnation() {
        return lease.read().incarnation();
    }

    @Override
    public FleetConfiguration configuration() {
        return configuration.read();
    }

    @Override
    public MembershipView membership() {
        return members.read();
    }

    @Override
    public boolean isIsolated() {
        return !permit.read().allows(clock.getAsLong());
    }

    @Override
    public OwnerSelector ownerSelector() {
        return ownerSelector;
    }

    @Override
    public RetryPolicy retryPolicy() {
        return retryPolicy;
    }

    @Override
    public TimelineSink timeline() {
        return timeline;
    }

    @Override
    public RequestObserver observer() {
        return observer;
    }
}
