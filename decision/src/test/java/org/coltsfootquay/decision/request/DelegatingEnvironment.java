package org.coltsfootquay.decision.request;

import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.placement.OwnerSelector;
import org.coltsfootquay.decision.retry.RetryPolicy;
import org.coltsfootquay.decision.timeline.TimelineSink;

/** Environment that delegates all methods, for tests that override one of them. */
abstract class DelegatingEnvironment implements RequestEnvironment {

    private final RequestEnvironment inner;

    DelegatingEnvironment(RequestEnvironment inner) {
        this.inner = inner;
    }

    @Override
    public RouterId self() {
        return inner.self();
    }

    @Override
    public long incarnation() {
        return inner.incarnation();
    }

    @Override
    public FleetConfiguration configuration() {
        return inner.configuration();
    }

    @Override
    public MembershipView membership() {
        return inner.membership();
    }

    @Override
    public boolean isIsolated() {
        return inner.isIsolated();
    }

    @Override
    public OwnerSelector ownerSelector() {
        return inner.ownerSelector();
    }

    @Override
    public RetryPolicy retryPolicy() {
        return inner.retryPolicy();
    }

    @Override
    public TimelineSink timeline() {
        return inner.timeline();
    }
}
